// Package berylreply describes the result of sending a request to a backend server or
// to another instance.
package berylreply

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"berylspan/core/berylattempt"
)

// Reply is the result of one attempt to run a request on a backend server. If Outcome
// is Answered, Status, Header and the body are those of the backend server. The body is
// Body, followed by Stream if that is not nil; Length is -1 if unknown. Otherwise Reason
// tells why there is no answer and RetryAfter when there may be room.
type Reply struct {
	Outcome berylattempt.Outcome
	Status  int
	Header  http.Header
	Body    []byte
	Stream  io.ReadCloser
	Length  int64

	Reason         string
	RetryAfter     time.Duration
	ActualServerID string // backend server of the instance, if it refused because the request was meant for another

	// About the connection to the local backend server, for logs, if it rejected the request.
	IDSentBefore bool // the id was sent on the connection before
	BodyPending  bool // the rejection came before the whole body was written

	// Load of the backend server at the end of the attempt, valid if HasLoad is set.
	HasLoad         bool
	Busy            int           // requests that run or wait in the queue
	Limit           int           // concurrency limit
	MeanServiceTime time.Duration // mean time for which requests of the same rule run
	QueueTime       time.Duration // time that this request spent in the queue
}

// Reasons for an attempt without an answer.
const (
	ReasonQueueFull        = "full"        // the request would wait too long in the queue
	ReasonCold             = "cold"        // the backend server is cold and has got as many requests as it tolerates
	ReasonThrottled        = "bound"       // too many requests of its rule are late or fail because a service that they call is overloaded
	ReasonShedding         = "shedding"    // a service that it would call rejects much on all its servers
	ReasonExpired          = "expired"     // its deadline passed while it waited in the queue
	ReasonShuttingDown     = "leaving"     // the instance is shutting down
	ReasonServerLeaving    = "draining"    // the backend server has said that it is shutting down
	ReasonEvacuated        = "evacuated"   // the data centre of the backend server is evacuated
	ReasonWrongServer      = "other"       // a backend server other than the intended one has the address
	ReasonQuarantined      = "quarantined" // servers ended while they ran it before, and no trial is possible now
	ReasonNoConnection     = "dial"        // no connection could be established
	ReasonConnectionBroken = "broken"      // the connection broke
	ReasonMalformed        = "malformed"   // the response was invalid or incomplete
	ReasonOverlong         = "overlong"    // the response exceeded the size limit of its head or had a long body that answers another request
	ReasonNoID             = "noid"        // an error without an id came on a reused connection, which may be that of an earlier request
	ReasonRejected         = "shed"        // the backend server rejected it
	ReasonCanceled         = "canceled"    // the sender cancelled it or its deadline passed
	ReasonPanic            = "panic"       // the daemon failed while it handled the request
	ReasonPeerSilent       = "silent"      // no gossip came from the instance any more
)

// NewFailure returns a reply without an answer.
func NewFailure(outcome berylattempt.Outcome, reason string) *Reply {
	return &Reply{Outcome: outcome, Reason: reason}
}

// Close closes Stream.
func (r *Reply) Close() {
	if r.Stream != nil {
		_ = r.Stream.Close() // Nobody is left to report an error to.
	}
}

// Reader returns a reader of the whole body: Body followed by Stream.
func (r *Reply) Reader() io.Reader {
	if r.Stream == nil {
		return bytes.NewReader(r.Body)
	}
	return io.MultiReader(bytes.NewReader(r.Body), r.Stream)
}
