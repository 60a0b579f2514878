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

// StopAt records that the instance stops, and when the requests that still run are cancelled. From
// now on, no request is started that is not expected to end before that.
func (r *Runner) StopAt(end time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.grace.Stop(end)
}

// RefuseNew makes the runner refuse all further requests because the instance is shutting down.
func (r *Runner) RefuseNew() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.shuttingDown = true
}

// ReturnWaiting returns all waiting requests to their senders because the instance is shutting
// down.
func (r *Runner) ReturnWaiting() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.returnWaiting(berylreply.ReasonShuttingDown)
}

// returnWaiting returns all waiting requests to their senders. The caller holds the lock.
func (r *Runner) returnWaiting(reason string) {
	for r.admission.Remove(func(w *waiter) bool { w.refusal = reason; close(w.ready); return true }) {
	}
}

// checkArrival refuses a request that this instance does not take. After RefuseNew it refuses every
// request.
func (r *Runner) checkArrival(req *berylrequest.Request) *berylreply.Reply {
	r.mu.Lock()
	shuttingDown := r.shuttingDown
	r.mu.Unlock()
	if shuttingDown {
		return berylreply.NewFailure(berylattempt.Unsent, berylreply.ReasonShuttingDown)
	}
	if reply := r.checkGrace(req); reply != nil {
		return reply
	}
	return r.checkServer(req)
}

// checkGrace refuses a request that would be cancelled at the end of a stop.
func (r *Runner) checkGrace(req *berylrequest.Request) *berylreply.Reply {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.grace.MayTake(time.Now(), req.Rule, req.Nested, req.Deadline) {
		return nil
	}
	return berylreply.NewFailure(berylattempt.Unsent, berylreply.ReasonShuttingDown)
}

// checkStart looks at a request again that has waited for its slot: the sender may have left, the
// server may be leaving, evacuated, gone or another one by now, and the instance may be stopping. It
// then gives the slot back and returns the request to its sender, which tries elsewhere.
func (r *Runner) checkStart(ctx context.Context, req *berylrequest.Request, admissionRequest beryladmission.Request, queueTime time.Duration) *berylreply.Reply {
	if queueTime < recheckAfter {
		return nil
	}
	var reply *berylreply.Reply
	if ctx.Err() != nil || !req.Deadline.After(time.Now()) {
		reply = berylreply.NewFailure(berylattempt.Unsent, berylreply.ReasonExpired)
	} else if reply = r.checkGrace(req); reply == nil {
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
	r.returnWaiting(reason)
}
