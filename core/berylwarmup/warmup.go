// Package berylwarmup tells whether the backend server beside an instance is cold.
//
// The published list says how long a server stays cold, but later than the server starts. An
// instance that sent a started server what the one before it had borne would crash it again.
// So the server counts as cold whenever it can't be known to be warm: while the instance itself
// has just started and does not know what was sent before, while a lifetime is not listed, after
// nothing accepted connections, and when requests come back after a time without any, in which
// the server may have become cold and the list may not tell yet.
package berylwarmup

import (
	"time"

	"berylspan/core/beryllifetime"
)

// Warmup follows the lifetimes of one backend server. It is not safe for concurrent use.
type Warmup struct {
	knownFrom time.Time // when what was sent before the start of the daemon does not count any more
	lifetime  beryllifetime.Lifetime
	until     time.Time // when the server of that lifetime becomes warm
	down      bool      // nothing accepted the latest connection
	backUntil time.Time // when a server that came back without being listed anew becomes warm
	requested time.Time // when the latest request came
}

// settleTime is the longest time for which requests are counted together.
const settleTime = time.Second

// listTime is how long the list may lag behind: a server writes its entry every 1.5 s.
const listTime = 2 * time.Second

// New returns a warm-up for a daemon that started at the given time.
func New(startedAt time.Time) *Warmup { return &Warmup{knownFrom: startedAt.Add(settleTime)} }

// Update sets the newest known lifetime of the server. coldUntil is when it becomes warm
// according to the list, or nil if that lifetime is not listed. coldStart is for how long a
// started server is cold.
func (w *Warmup) Update(now time.Time, lifetime beryllifetime.Lifetime, coldUntil *time.Time, coldStart time.Duration) {
	if w.lifetime != lifetime {
		w.lifetime = lifetime
		w.until = now.Add(coldStart)
		w.down, w.backUntil = false, time.Time{}
	}
	if coldUntil != nil {
		w.until = *coldUntil
	}
}

// Requested records that a request for the server came. coldStart is as in Update.
func (w *Warmup) Requested(now time.Time, coldStart time.Duration) {
	if coldStart > 0 && !w.requested.IsZero() && now.Sub(w.requested) > max(coldStart, listTime) {
		w.backUntil = now.Add(min(coldStart, listTime))
	}
	w.requested = now
}

// Unreachable records that nothing accepted a connection.
func (w *Warmup) Unreachable() { w.down = true }

// Answered records that the server answered a request. coldStart is as in Update.
func (w *Warmup) Answered(now time.Time, coldStart time.Duration) {
	if w.down {
		w.down, w.backUntil = false, now.Add(coldStart)
	}
}

// ColdFor returns how long the server stays cold, 0 if it is warm. For a server that is down,
// it is how long it will be cold at least.
func (w *Warmup) ColdFor(now time.Time, coldStart time.Duration) time.Duration {
	cold := max(0, w.until.Sub(now), w.backUntil.Sub(now), w.knownFrom.Sub(now))
	if w.down {
		cold = max(cold, coldStart)
	}
	return cold
}
