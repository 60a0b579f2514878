package berylhttpserver

import (
	"io"
	"net/http"
)

// Answer is the answer to a request. The body is Body, followed by Stream if that is not
// nil; Length is then that of the whole body, or -1 if unknown. Close closes the
// connection after the answer, Abort closes it without an answer. OmitBody is set for
// answers to HEAD requests: the length is sent, the body is not.
type Answer struct {
	Status   int
	Header   http.Header
	Body     []byte
	Stream   io.ReadCloser
	Length   int64
	Close    bool
	Abort    bool
	OmitBody bool
}
