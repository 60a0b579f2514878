// Package berylwork describes a request on its way to a backend server.
package berylwork

import (
	"io"
	"net/http"
	"time"
)

// Work is one request together with what was decided about it. Header holds the
// end-to-end fields of the caller. The body is Body, followed by Stream when that
// is not nil; Length is -1 when unknown. Until is when its answer is useless and
// Aim until when it is of full use. Instance is the id of the backend server that
// it is meant for, Born that server's lifetime.
type Work struct {
	ID         string
	Method     string
	URI        string
	Host       string
	Header     http.Header
	Body       []byte
	Stream     io.Reader
	Length     int64
	Rule       string
	Service    string
	Instance   string
	Born       int64
	Workspace  string
	Caller     string
	Repeatable bool
	Call       bool
	Rank       int
	Step       int
	Until      time.Time
	Aim        time.Time
}
