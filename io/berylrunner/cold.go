package berylrunner

import (
	"context"
	"time"

	"berylspan/core/berylattempt"
	"berylspan/core/berylcoldstart"
	"berylspan/core/berylregistration"
	"berylspan/io/berylreply"
)

// maxColdWait is how long a request may wait for a cold backend server to take it. Its sender
// finds another server sooner.
const maxColdWait = 100 * time.Millisecond

// ColdStart sets the function that returns what the configuration says of the backend server
// while it is cold; known is false while there is no configuration.
func ColdStart(f func() (start berylcoldstart.ColdStart, known bool)) func(*Runner) {
	return func(r *Runner) { r.coldStart = f }
}

// OnColdChange sets a function that is called when the backend server becomes cold, with the
// time for which it stays so and the requests per second that it then tolerates, or warm, with
// the time 0.
func OnColdChange(f func(serverID string, coldFor time.Duration, perSecond float64)) func(*Runner) {
	return func(r *Runner) { r.onColdChange = f }
}

// UpdateCold takes over what the published lists say of whether the backend server is cold.
func (r *Runner) UpdateCold() {
	entry, known := r.listEntry()
	r.mu.Lock()
	defer r.mu.Unlock()
	if known && entry.Born >= r.lifetime.BornMs {
		r.trackLifetime(entry.Lifetime())
	}
	r.updateCold(entry, known, 0)
	r.startWaiting()
}

// updateCold makes the admission control keep to what the server tolerates while it is cold.
// senderRate is the limit that the sender of a request knows, 0 without one: a daemon that has
// just started may get requests before it knows a configuration. The caller holds the lock.
func (r *Runner) updateCold(entry berylregistration.Registration, known bool, senderRate float64) {
	now := time.Now()
	if start, known := r.coldStart(); known {
		r.coldStarts = start
	} else if senderRate > 0 {
		r.coldStarts.PerSecond = senderRate
	}
	if known && entry.Lifetime() == r.lifetime {
		r.warmup.Update(now, r.lifetime, &entry.ColdUntil, r.coldStarts.Duration)
	} else {
		r.warmup.Update(now, r.lifetime, nil, r.coldStarts.Duration)
	}
	wasCold := r.coldFor > 0
	r.coldFor = 0
	if r.coldStarts.PerSecond > 0 {
		r.coldFor = r.warmup.ColdFor(now, r.coldStarts.Duration)
	}
	r.admission.SetCold(r.coldStarts.PerSecond, r.coldFor > 0)
	if cold := r.coldFor > 0; cold != wasCold {
		r.onColdChange(r.lifetime.ID, r.coldFor, r.coldStarts.PerSecond)
	}
	for {
		w, ok := r.admission.DropExcess(now, maxColdWait)
		if !ok {
			return
		}
		w.refusal = berylreply.ReasonCold
		close(w.ready)
	}
}

// checkCold refuses a request that a cold server does not take soon. The caller holds the lock.
func (r *Runner) checkCold(now time.Time) *berylreply.Reply {
	wait := r.admission.ColdWait(now)
	if wait <= maxColdWait {
		return nil
	}
	reply := berylreply.NewFailure(berylattempt.Unsent, berylreply.ReasonCold)
	reply.RetryAfter = wait
	return reply
}

// recordReached records whether the server accepts connections and answers.
func (r *Runner) recordReached(ctx context.Context, reply *berylreply.Reply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case reply.Outcome == berylattempt.Answered:
		r.warmup.Answered(time.Now(), r.coldStarts.Duration)
	case reply.Reason == berylreply.ReasonNoConnection && ctx.Err() == nil:
		r.warmup.Unreachable()
	}
}

// Cold returns how long the backend server stays cold, 0 if it is warm, and the requests per
// second that it tolerates while it is cold, 0 for no limit.
func (r *Runner) Cold() (coldFor time.Duration, perSecond float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.coldStarts.PerSecond <= 0 {
		return 0, 0
	}
	return r.warmup.ColdFor(time.Now(), r.coldStarts.Duration), r.coldStarts.PerSecond
}
