package berylrunner

import (
	"context"
	"net/http"
	"time"

	"berylspan/core/berylattempt"
	"berylspan/io/berylreply"
	"berylspan/io/berylrequest"
)

// OnShedding sets a function that is called, on a goroutine of its own, when the backend server
// begins or ceases to reject much of what arrives.
func OnShedding(f func()) func(*Runner) { return func(r *Runner) { r.onShedding = f } }

// SetShedding sets the largest share of arrivals that a service of the fleet rejects on all
// its servers.
func (r *Runner) SetShedding(share float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gate.SetShedding(time.Now(), share)
}

// Shedding returns the share of the latest arrivals that the backend server rejected.
func (r *Runner) Shedding() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.shedding.Share(time.Now())
}

// minCallFailures is the share of its nested calls that must fail for the errors of a server to
// count as caused by them.
const minCallFailures = 0.05

// checkShedding refuses a new request whose chain would need retries that the services below
// do not have.
func (r *Runner) checkShedding(req *berylrequest.Request) *berylreply.Reply {
	r.mu.Lock()
	defer r.mu.Unlock()
	if req.Nested || r.gate.Admit(time.Now(), req.Rule, req.Importance) {
		return nil
	}
	return berylreply.NewFailure(berylattempt.Unsent, berylreply.ReasonShedding)
}

// recordOutcome records whether the server rejected a request that was sent at start, and
// whether it failed while nested calls of the server fail.
func (r *Runner) recordOutcome(ctx context.Context, req *berylrequest.Request, start time.Time, reply *berylreply.Reply) {
	answered := reply.Outcome == berylattempt.Answered
	failed := answered && reply.Status >= http.StatusInternalServerError && ctx.Err() == nil
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if rejected := reply.Outcome == berylattempt.Rejected; rejected || answered {
		r.shedding.Record(now, rejected)
		if r.shedding.Changed(now) {
			go r.guard("shedding", r.onShedding)
		}
	}
	if !req.Nested && answered {
		r.gate.Ended(now, start, req.Rule, req.Importance, failed && r.callFailures.Share(now) >= minCallFailures)
	}
}
