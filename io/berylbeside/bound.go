package berylbeside

import (
	"context"
	"net/http"
	"slices"
	"time"

	"berylspan/core/berylattempt"
	"berylspan/io/berylreply"
	"berylspan/io/berylwork"
)

// Called records a nested call that the backend server made.
func (b *Beside) Called(rule string) {
	b.mu.Lock()
	b.calls.CallMade(time.Now(), rule)
	b.mu.Unlock()
}

// Returned records how long a nested call took that the backend server made, and
// how much of that it waited in line.
func (b *Beside) Returned(took, waited time.Duration) {
	b.mu.Lock()
	b.inflight.RecordCall(took, waited)
	b.mu.Unlock()
}

// CallRank returns the rank of a nested call: that of the most important rule
// running here which makes it.
func (b *Beside) CallRank(call string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	best, found := 0, false
	for rule, rank := range b.ranks {
		if (!found || rank < best) && b.running[rule] > 0 && slices.Contains(b.calls.CallsOf(rule), call) {
			best, found = rank, true
		}
	}
	return best
}

// bound refuses new work of a rule whose calls wait too long.
func (b *Beside) bound(w *berylwork.Request) *berylreply.Reply {
	b.mu.Lock()
	defer b.mu.Unlock()
	if w.Nested || b.inflight.Allow(w.Rule) {
		return nil
	}
	return berylreply.NewFailure(berylattempt.Unsent, berylreply.ReasonThrottled)
}

// ended records how new work ended: badly when its answer failed or is late. What
// the caller gave up earlier says nothing.
func (b *Beside) ended(ctx context.Context, w *berylwork.Request, out *berylreply.Reply) {
	now := time.Now()
	bad := now.After(w.TargetTime) || (ctx.Err() == nil && (out.Outcome != berylattempt.Answered || out.Status >= http.StatusInternalServerError))
	b.mu.Lock()
	b.inflight.End(now, w.Rule, bad)
	b.mu.Unlock()
}
