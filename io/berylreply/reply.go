// Package berylreply carries the end of a send back to whoever sent.
package berylreply

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"berylspan/core/berylattempt"
)

// Reply is how one send ended. Status, Header and the body are the backend
// server's when End is Answered; the body is Body, followed by Stream when that
// is not nil. Length is -1 when unknown. Otherwise Reason says why, and After
// when there may be room. Busy, Limit and Hold describe the line beside the
// backend server: requests that run or wait, that may run at once, and the mean
// time of one; Waited is how long the request was in it.
type Reply struct {
	End    berylattempt.Outcome
	Status int
	Header http.Header
	Body   []byte
	Stream io.ReadCloser
	Length int64

	Reason string
	After  time.Duration
	Actual string // id of the backend server beside the instance, when it refused for another

	Told   bool
	Busy   int
	Limit  int
	Hold   time.Duration
	Waited time.Duration
}

// Reasons of sends that got no answer.
const (
	Full      = "full"      // the request would wait too long
	Bound     = "bound"     // too many of its rule end late or fail, for what they call is overloaded
	Expired   = "expired"   // its time ran out while it waited
	Leaving   = "leaving"   // the instance is shutting down
	Other     = "other"     // another backend server has the address
	Dial      = "dial"      // no connection
	Broken    = "broken"    // the connection broke
	Malformed = "malformed" // what came back was no whole answer
	Shed      = "shed"      // the backend server rejected it
	Canceled  = "canceled"  // the sender gave up or its time ran out
	Silent    = "silent"    // the instance was no longer heard
)

// Fail returns a reply without an answer.
func Fail(end berylattempt.Outcome, reason string) *Reply {
	return &Reply{End: end, Reason: reason}
}

// Close releases the rest of the body.
func (r *Reply) Close() {
	if r.Stream != nil {
		_ = r.Stream.Close() // Nothing is left to report to.
	}
}

// Reader returns the whole body.
func (r *Reply) Reader() io.Reader {
	if r.Stream == nil {
		return bytes.NewReader(r.Body)
	}
	return io.MultiReader(bytes.NewReader(r.Body), r.Stream)
}
