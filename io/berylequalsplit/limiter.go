// Package berylequalsplit limits rates without coordination: each instance enforces an equal
// share of the rate of every workspace. It is the baseline that granting tokens on demand
// is measured against and is never used in production.
package berylequalsplit

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"

	"berylspan/core/berylclass"
	"berylspan/core/berylrefusal"
	"berylspan/core/berylsnapshot"
	"berylspan/core/berylworkspace"
)

// Limiter has a token bucket per workspace, with the rate and the burst of its plan
// divided by the number of listed instances. It is safe for concurrent use.
type Limiter struct {
	snapshot func() *berylsnapshot.Snapshot
	mu       sync.Mutex
	buckets  map[string]*bucket
}

type bucket struct {
	tokens     float64
	refilledAt time.Time
}

// New returns a limiter whose buckets start with the full burst of this instance.
func New(snapshot func() *berylsnapshot.Snapshot) *Limiter {
	return &Limiter{snapshot: snapshot, buckets: map[string]*bucket{}}
}

// DemandRatio returns the ratio of a workspace's demand to its rate, which is not measured
// here and taken to be 1.
func (l *Limiter) DemandRatio(*berylworkspace.Workspace, berylclass.Class) float64 { return 1 }

// Take takes one token from the bucket of the workspace or refuses the call. The time by
// which the call must start is always zero, for no limit.
func (l *Limiter) Take(_ context.Context, w *berylworkspace.Workspace, _ berylclass.Class) (time.Time, *berylrefusal.Refusal) {
	instances := float64(max(len(l.snapshot().Instances), 1))
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[w.Name]
	if b == nil {
		b = &bucket{tokens: w.Plan.Burst / instances, refilledAt: now}
		l.buckets[w.Name] = b
	}
	b.tokens = min(b.tokens+now.Sub(b.refilledAt).Seconds()*w.Plan.Rate/instances, max(w.Plan.Burst/instances, 1))
	b.refilledAt = now
	if b.tokens < 1 {
		return time.Time{}, berylrefusal.NewNotRun(berylrefusal.Rate, connect.CodeResourceExhausted, "workspace "+w.Name+" is over its part of the rate")
	}
	b.tokens--
	return time.Time{}, nil
}
