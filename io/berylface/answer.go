package berylface

import (
	"io"
	"net/http"
)

// Answer is what a caller gets. The body is Body followed by Stream, when that
// is not nil; Length is that of the whole, -1 when unknown. Close ends the
// connection after the answer. Bare answers, to HEAD requests, have no body. Abort ends it without one.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	Stream io.ReadCloser
	Length int64
	Close  bool
	Abort  bool
	Bare   bool
}
