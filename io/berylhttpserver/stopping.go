package berylhttpserver

import (
	"errors"
	"net/http"
)

// ErrStopping is the cause with which the context of a request is cancelled because the
// time of a stop is over. The answer that Handle returns is still written. It must tell
// whether the request may have run.
var ErrStopping = errors.New("server is stopping") //nolint:gochecknoglobals // A sentinel.

// Refuse sets the function that answers requests that were not started when the time of a
// stop was over. The body may not have been read.
func Refuse(refuse func(r *Request) *Answer) func(*Server) {
	return func(s *Server) { s.refuse = refuse }
}

func refuseUnavailable(*Request) *Answer {
	return &Answer{Status: http.StatusServiceUnavailable, Header: http.Header{}}
}
