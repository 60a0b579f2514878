package berylhttpserver

import (
	"io"
	"net/http"
	"time"
)

// Request is a request of a caller. URI and Host are as the caller sent them. The body
// is Body, followed by Stream if that is not nil; Length is -1 if unknown. CallerGone
// reports whether the caller has closed its connection, even if the context is not
// cancelled yet. Hold, set if Stream is, reports whether n more bytes of the body may be held
// until the answer is written.
type Request struct {
	Method     string
	URI        string
	Path       string
	Host       string
	Header     http.Header
	Body       []byte
	Stream     io.Reader
	Length     int64
	ReceivedAt time.Time // when its header was complete
	CallerGone func() bool
	Hold       func(n int64) bool
}
