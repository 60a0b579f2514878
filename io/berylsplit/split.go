// Package berylsplit divides every rate equally over the instances listed. It is
// the baseline that the granting of tokens is measured against; operators never
// run it.
package berylsplit

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

// Split is safe for concurrent use.
type Split struct {
	state func() *berylsnapshot.Snapshot
	mu    sync.Mutex
	by    map[string]*bucket
}

type bucket struct {
	level float64
	at    time.Time
}

// New returns a split that begins with whole bursts.
func New(state func() *berylsnapshot.Snapshot) *Split {
	return &Split{state: state, by: map[string]*bucket{}}
}

// Use says that every workspace asks for all of its rate.
func (s *Split) Use(*berylworkspace.Workspace, berylclass.Class) float64 { return 1 }

// Take spends one token of this instance's part.
func (s *Split) Take(_ context.Context, w *berylworkspace.Workspace, _ berylclass.Class) (time.Time, *berylrefusal.Refusal) {
	n := float64(max(len(s.state().Instances), 1))
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.by[w.Name]
	if b == nil {
		b = &bucket{level: w.Plan.Burst / n, at: now}
		s.by[w.Name] = b
	}
	b.level = min(b.level+now.Sub(b.at).Seconds()*w.Plan.Rate/n, max(w.Plan.Burst/n, 1))
	b.at = now
	if b.level < 1 {
		return time.Time{}, berylrefusal.NewNotRun(berylrefusal.Rate, connect.CodeResourceExhausted, "workspace "+w.Name+" is over its part of the rate")
	}
	b.level--
	return time.Time{}, nil
}
