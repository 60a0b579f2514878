package berylrunner

import (
	"context"
	"net/http"
	"slices"
	"time"

	"berylspan/core/berylattempt"
	"berylspan/io/berylreply"
	"berylspan/io/berylrequest"
)

// CallStarted records a nested call that the backend server made.
func (r *Runner) CallStarted(rule string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.callGraph.CallMade(time.Now(), rule)
}

// CallEnded records how long a nested call of the backend server took, how much of that it
// waited in queues, and whether it failed.
func (r *Runner) CallEnded(took, waited time.Duration, failed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limiter.RecordCall(took, waited)
	r.callFailures.Record(time.Now(), failed)
}

// CallRank returns the rank of a nested call: the rank of the most important rule that
// makes this call and has requests running here, or 0 if there is none.
func (r *Runner) CallRank(call string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	best, found := 0, false
	for rule, rank := range r.ranks {
		if (!found || rank < best) && r.running[rule] > 0 && slices.Contains(r.callGraph.CallsOf(rule), call) {
			best, found = rank, true
		}
	}
	return best
}

// checkThrottle refuses a new request of a rule whose concurrency is limited because its
// nested calls wait too long. It does not refuse nested calls.
func (r *Runner) checkThrottle(req *berylrequest.Request) *berylreply.Reply {
	r.mu.Lock()
	defer r.mu.Unlock()
	if req.Nested || r.limiter.Allow(req.Rule) {
		return nil
	}
	return berylreply.NewFailure(berylattempt.Unsent, berylreply.ReasonThrottled)
}

// recordEnd records the end of a new request and whether it failed or was late. A
// request that was cancelled before its target time counts as neither.
func (r *Runner) recordEnd(ctx context.Context, req *berylrequest.Request, reply *berylreply.Reply) {
	now := time.Now()
	bad := now.After(req.TargetTime) || (ctx.Err() == nil && (reply.Outcome != berylattempt.Answered || reply.Status >= http.StatusInternalServerError))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limiter.End(now, req.Rule, bad)
}
