package berylhttpserver

import (
	"io"
	"net/http"
)

// Answer is the answer to a request. The body is Body, followed by Stream if that is not
// nil; Length is then that of the whole body, or -1 if unknown. Close closes the
// connection after the answer, Abort closes it without an answer. OmitBody is set for
// answers to HEAD requests: the length is sent, the body is not. OnFailure returns the answer
// to send instead if Stream has failed before the head is written; if it is nil, that is 502
// without fields.
type Answer struct {
	Status   int
	Header   http.Header
	Body     []byte
	Stream   io.ReadCloser
	Length   int64
	Close    bool
	Abort    bool
	OmitBody bool

	OnFailure func(err error) *Answer
}

// failed returns the answer to send instead after Stream has failed.
func (a *Answer) failed(err error) *Answer {
	if a.OnFailure == nil {
		return &Answer{Status: http.StatusBadGateway}
	}
	return a.OnFailure(err)
}

// noBody reports whether no body is sent, whatever the answer contains.
func (a *Answer) noBody() bool {
	return a.OmitBody || a.Status == http.StatusNoContent || a.Status == http.StatusNotModified || a.Status < 200
}
