package berylrunner

import (
	"context"
	"time"

	"berylspan/core/beryladmission"
	"berylspan/core/berylattempt"
	"berylspan/core/beryllifetime"
	"berylspan/io/berylreply"
	"berylspan/io/berylrequest"
)

// recheckAfter is the time in a queue after which a request is checked again at its start. What
// is published reaches the instances in hundreds of milliseconds.
const recheckAfter = time.Millisecond

// IsListed sets the function that reports whether a server is in the published list.
func IsListed(f func(serverID string) bool) func(*Runner) {
	return func(r *Runner) { r.isListed = f }
}

// isGone reports whether the list held the lifetime of the server and does so no more. known
// reports whether it holds a server at the address. The caller holds the lock.
func (r *Runner) isGone(known bool, lifetime beryllifetime.Lifetime) bool {
	return !known && lifetime.ID != "" && r.listed == lifetime && !r.isListed(lifetime.ID)
}

// checkArrival refuses a request that this instance does not take. During shutdown it refuses
// every request.
func (r *Runner) checkArrival(req *berylrequest.Request) *berylreply.Reply {
	r.mu.Lock()
	shuttingDown := r.shuttingDown
	r.mu.Unlock()
	if shuttingDown {
		return berylreply.NewFailure(berylattempt.Unsent, berylreply.ReasonShuttingDown)
	}
	return r.checkServer(req)
}

// checkStart looks at a request again that has waited for its slot: the sender may have left, and
// the server may be leaving, evacuated, gone or another one by now. It then gives the slot back and
// returns the request to its sender, which tries elsewhere.
func (r *Runner) checkStart(ctx context.Context, req *berylrequest.Request, admissionRequest beryladmission.Request, queueTime time.Duration) *berylreply.Reply {
	if queueTime < recheckAfter {
		return nil
	}
	var reply *berylreply.Reply
	if ctx.Err() != nil || !req.Deadline.After(time.Now()) {
		reply = berylreply.NewFailure(berylattempt.Unsent, berylreply.ReasonExpired)
	} else {
		reply = r.checkServer(req)
	}
	if reply != nil {
		r.releaseSlot(admissionRequest, 0, false)
	}
	return reply
}

// ListChanged returns all waiting requests to their senders if the server has begun to leave, is
// evacuated or no longer listed, so that they don't wait for a slot first.
func (r *Runner) ListChanged() {
	entry, known := r.listEntry()
	r.mu.Lock()
	defer r.mu.Unlock()
	reason := ""
	switch {
	case r.isEvacuated():
		reason = berylreply.ReasonEvacuated
	case known && entry.Leaving && entry.Lifetime() == r.lifetime:
		reason = berylreply.ReasonServerLeaving
	case r.isGone(known, r.lifetime):
		reason = berylreply.ReasonWrongServer
	default:
		return
	}
	for r.admission.Remove(func(w *waiter) bool { w.refusal = reason; close(w.ready); return true }) {
	}
}
