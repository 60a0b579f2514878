// Package berylslots lets calls run on one backend server within its limit, the
// most important first.
package berylslots

import (
	"context"
	"sync"
	"time"

	"berylspan/core/berylinvariant"
	"berylspan/core/beryllevel"
	"berylspan/core/beryllimit"
	"berylspan/core/berylpolicy"
	"berylspan/core/berylqueue"
	"berylspan/core/berylrefusal"

	"connectrpc.com/connect"
)

// Slots is safe for concurrent use.
type Slots struct {
	policy  berylpolicy.Policy
	guard   *berylinvariant.Guard
	mu      sync.Mutex
	limit   *beryllimit.Limit
	level   *beryllevel.Level
	queue   *berylqueue.Queue[*waiter]
	hold    time.Duration // moving mean of how long a call takes a slot
	calls   int
	streams int
	now     func() time.Time
}

type waiter struct {
	done    chan struct{}
	at      time.Time
	order   float64
	stream  bool
	refusal *berylrefusal.Refusal
}

const (
	maxWait     = 250 * time.Millisecond
	queueLen    = 256
	streamPart  = 0.5 // part of the limit that streams may hold
	pushback    = 200 * time.Millisecond
	minSlotTime = time.Millisecond
	holdSmooth  = 0.05 // weight of a new time
)

// New returns slots for a backend server that says it has hint of them; 0 when
// it says nothing.
func New(policy berylpolicy.Policy, hint int, guard *berylinvariant.Guard) *Slots {
	opts := []func(*beryllimit.Limit){}
	if hint > 0 {
		opts = append(opts, beryllimit.Initial(hint))
	}
	return &Slots{
		policy: policy,
		guard:  guard,
		limit:  beryllimit.New(opts...),
		level:  beryllevel.New(),
		queue:  berylqueue.New[*waiter](queueLen),
		now:    time.Now,
	}
}

// Cut returns the present admission level.
func (s *Slots) Cut() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.level.Threshold()
}

// Wait returns how long a call of the given order would wait for a slot now.
func (s *Slots) Wait(order float64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.queue.CountAhead(order)
	if s.fits(false) && n == 0 {
		return 0
	}
	return time.Duration(n+1) * s.hold / time.Duration(max(s.most(), 1))
}

// State returns the limit, the calls and streams that run and those that wait.
func (s *Slots) State() (limit, calls, streams, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.most(), s.calls, s.streams, s.queue.Len()
}

func (s *Slots) most() int {
	if s.policy.FixedLimit > 0 {
		return s.policy.FixedLimit
	}
	return s.limit.Current()
}

// fits tells whether a call or stream may start now.
func (s *Slots) fits(stream bool) bool {
	if s.policy.Unlimited {
		return true
	}
	most := s.most()
	if stream && float64(s.streams+1) > max(1, float64(most)*streamPart) {
		return false
	}
	return s.calls+s.streams < most
}

// Acquire waits for a slot until the deadline of the call or the longest wait.
// The caller must pass to the function returned how long the call took, how much
// of that it waited for other services, and whether the backend server turned it
// away.
func (s *Slots) Acquire(ctx context.Context, order float64, stream bool) (func(took, away time.Duration, shed bool), *berylrefusal.Refusal) {
	s.mu.Lock()
	now := s.now()
	if s.policy.AdmissionLevel && !s.level.Admit(now, order) {
		s.mu.Unlock()
		return nil, overload("the service is overloaded and admits only more important calls")
	}
	if d, ok := ctx.Deadline(); ok && d.Sub(now) < max(s.hold/2, minSlotTime) {
		s.mu.Unlock()
		return nil, berylrefusal.NewNotRun(berylrefusal.Deadline, connect.CodeDeadlineExceeded, "too little time is left to run the call")
	}
	if s.fits(stream) && s.queue.Len() == 0 {
		s.start(now, stream, 0)
		s.mu.Unlock()
		return s.release(stream), nil
	}
	if !s.policy.PriorityOrder {
		// First come, first served.
		order = float64(now.UnixNano())
	}
	w := &waiter{done: make(chan struct{}), at: now, order: order, stream: stream}
	s.enqueue(ctx, now, w)
	s.mu.Unlock()
	return s.wait(ctx, w)
}

func overload(text string) *berylrefusal.Refusal {
	r := berylrefusal.NewNotRun(berylrefusal.Overload, connect.CodeResourceExhausted, text)
	r.RetryAfter = pushback
	return r
}

func (s *Slots) enqueue(ctx context.Context, now time.Time, w *waiter) {
	until := now.Add(maxWait)
	if d, ok := ctx.Deadline(); ok && d.Add(-s.hold).Before(until) {
		until = d.Add(-s.hold)
	}
	if gone, full := s.queue.Push(w.order, until, w); full {
		s.level.RecordDrop(now)
		s.guard.Check(gone.order >= s.queue.LeastImportant(), berylinvariant.Shed, "a call of order %g was shed for one of %g", gone.order, s.queue.LeastImportant())
		gone.end(overload("the queue is full of more important calls"))
	}
	s.admit(now)
}

func (w *waiter) end(r *berylrefusal.Refusal) {
	w.refusal = r
	close(w.done)
}

func (s *Slots) wait(ctx context.Context, w *waiter) (func(took, away time.Duration, shed bool), *berylrefusal.Refusal) {
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case <-w.done:
	case <-ctx.Done():
		s.leave(w, berylrefusal.NewNotRun(berylrefusal.Canceled, connect.CodeCanceled, "the caller gave up while the call waited"))
	case <-timer.C:
		s.leave(w, overload("the call waited too long for a slot"))
	}
	if w.refusal != nil {
		return nil, w.refusal
	}
	return s.release(w.stream), nil
}

// leave takes a waiter out of the queue unless it was served meanwhile.
func (s *Slots) leave(w *waiter, r *berylrefusal.Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.queue.Remove(func(o *waiter) bool { return o == w }) {
		s.level.RecordWait(s.now(), s.now().Sub(w.at))
		w.end(r)
		return
	}
	<-w.done
}

func (s *Slots) start(now time.Time, stream bool, waited time.Duration) {
	s.level.RecordWait(now, waited)
	if stream {
		s.streams++
		return
	}
	s.calls++
}

func (s *Slots) release(stream bool) func(took, away time.Duration, shed bool) {
	return func(took, away time.Duration, shed bool) {
		s.mu.Lock()
		defer s.mu.Unlock()
		now := s.now()
		if stream {
			s.streams--
		} else {
			s.limit.Record(now, max(took-away, 0), took, s.calls+s.streams, shed)
			s.hold += time.Duration(float64(took-s.hold) * holdSmooth)
			s.level.SetSlotInterval(s.hold.Seconds() / float64(max(s.most(), 1)))
			s.calls--
		}
		s.admit(now)
	}
}

// admit starts waiting calls while slots are free. Streams that may not start
// go back to the queue.
func (s *Slots) admit(now time.Time) {
	var held []*waiter
	for s.fits(false) {
		w, ok := s.queue.Pop(now, func(w *waiter) {
			s.level.RecordWait(now, now.Sub(w.at))
			w.end(overload("the call waited too long for a slot"))
		})
		if !ok {
			break
		}
		if w.stream && !s.fits(true) {
			held = append(held, w)
			continue
		}
		s.start(now, w.stream, now.Sub(w.at))
		close(w.done)
	}
	for _, w := range held {
		s.queue.Push(w.order, w.at.Add(maxWait), w)
	}
}
