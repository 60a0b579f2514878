package berylhttpserver

import (
	"errors"
	"net/http"
	"time"
)

// Unanswered is a request that ended without a complete answer. ID, Host and Path are empty
// if its header could not be read.
type Unanswered struct {
	ID   string
	Host string
	Path string
	Age  time.Duration // since its header was complete
	Wait Wait
	Err  error // why its connection ended
}

// Wait is what a request was waiting for.
type Wait string

// What a request can wait for.
const (
	WaitBody          Wait = "body"           // its own body, of which at least a part is to be read before it runs
	WaitTurn          Wait = "turn"           // answers to earlier requests, before which it must not run
	WaitHandler       Wait = "handler"        // the function that handles it, and so its backend server
	WaitEarlierAnswer Wait = "earlier answer" // its answer is ready, an earlier one on the connection is not written
	WaitCaller        Wait = "caller"         // its answer is being written
)

var (
	errClosed = errors.New("server closed the connection")   //nolint:gochecknoglobals // A sentinel.
	errPanic  = errors.New("panic while serving")            //nolint:gochecknoglobals // A sentinel.
	errAbort  = errors.New("request was handled, no answer") //nolint:gochecknoglobals // A sentinel.
)

// OnUnanswered sets a function that is called for each request that ends without a complete
// answer while the server stops or because it is closed. requestID returns the ID from the
// header of a request.
func OnUnanswered(requestID func(h http.Header) string, report func(u Unanswered)) func(*Server) {
	return func(s *Server) { s.requestID, s.onUnanswered = requestID, report }
}
