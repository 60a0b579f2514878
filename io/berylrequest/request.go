// Package berylrequest describes a request as instances forward it to a backend server.
package berylrequest

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"berylspan/core/beryllifetime"

	"github.com/cespare/xxhash/v2"
)

// Request is a request of a caller, together with what the instance that received it
// decided about it. The body is Body, followed by Stream if that is not nil.
type Request struct {
	ID            string
	Method        string
	URI           string
	Host          string
	Header        http.Header // end-to-end fields of the caller
	Body          []byte
	Stream        io.Reader
	Length        int64  // of the whole body, -1 if unknown
	Rule          string // name of the rule that it matched
	Service       string
	ServerID      string  // backend server that it is meant for
	ServerStartMs int64   // start of that backend server in Unix milliseconds, which distinguishes lifetimes under one ID
	ServerLimited bool    // that server has named a limit, as far as the sender knows
	ServerLimit   float64 // requests per second, valid if ServerLimited is set
	ColdPerSecond float64 // requests per second that the server tolerates while it is cold, 0 if the sender knows no limit
	Workspace     string
	Caller        string    // service of the instance that received it
	Idempotent    bool      // may run more than once
	Trial         bool      // servers ended while they ran it before, and no other such request may run beside it
	Nested        bool      // a call that a backend server makes while it runs another request
	Rank          int       // order among waiting requests, lowest first
	Importance    int       // steps above the least important requests
	Deadline      time.Time // from then on an answer is useless
	TargetTime    time.Time // until then an answer is of full use

	StreamFingerprint uint64 // of a request with a streamed body, from the instance where it began; 0 from older builds
}

// Fingerprint returns a hash of what stays the same when a caller makes the request again, at
// any instance: method, host, URI, workspace and body. Of a body that is streamed only the
// length and the part in Body count. That part is known only where the request began, so
// StreamFingerprint goes before.
func (r *Request) Fingerprint() uint64 {
	if r.StreamFingerprint != 0 {
		return r.StreamFingerprint
	}
	var d xxhash.Digest
	d.Reset()
	for _, s := range []string{r.Method, r.Host, r.URI, r.Workspace, strconv.FormatInt(r.Length, 10)} {
		_, _ = d.WriteString(s)
		_, _ = d.WriteString("\x00")
	}
	_, _ = d.Write(r.Body)
	return d.Sum64()
}

// Lifetime returns the lifetime of the backend server that the request is meant for.
func (r *Request) Lifetime() beryllifetime.Lifetime {
	return beryllifetime.Lifetime{ID: r.ServerID, BornMs: r.ServerStartMs}
}
