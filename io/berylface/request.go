package berylface

import (
	"io"
	"net/http"
	"time"
)

// Request is one request of a caller. URI and Host are as they were sent. Body
// is the whole body unless Stream is set, which then yields what follows Body.
// Length is the length of the whole body, -1 when unknown. Gone tells whether the
// caller has closed its connection, also before anyone was told.
type Request struct {
	Method string
	URI    string
	Path   string
	Host   string
	Header http.Header
	Body   []byte
	Stream io.Reader
	Length int64
	At     time.Time // when its head was complete
	Gone   func() bool
}
