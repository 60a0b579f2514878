// Package berylslots limits how many calls run at once on one backend server and queues
// the others by importance.
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

// Slots grants concurrency slots of one backend server to calls and streams. The number
// of slots adapts to the latency of the server (see beryllimit.Limit), and during
// overload the less important calls are rejected before they queue (see
// beryllevel.Level); the policy can turn either off. When no slot is free, calls wait in
// a bounded priority queue. Slots is safe for concurrent use.
type Slots struct {
	policy         berylpolicy.Policy
	guard          *berylinvariant.Guard
	mu             sync.Mutex
	limit          *beryllimit.Limit
	level          *beryllevel.Level
	queue          *berylqueue.Queue[*waiter]
	meanSlotTime   time.Duration // moving average of how long a call holds a slot; streams are left out
	runningCalls   int
	runningStreams int
	now            func() time.Time
}

type waiter struct {
	done       chan struct{} // closed when the call was given a slot or refused
	enqueuedAt time.Time
	order      float64
	stream     bool
	refusal    *berylrefusal.Refusal // nil when the call was given a slot
}

const (
	maxWait            = 250 * time.Millisecond
	queueCapacity      = 256 // waiting calls and streams
	maxStreamFraction  = 0.5 // fraction of the limit that streams may hold, at least one stream
	overloadRetryAfter = 200 * time.Millisecond
	minRemainingTime   = time.Millisecond // until the deadline, to start a call
	slotTimeSmoothing  = 0.05             // weight of a new sample in the moving average
)

// New returns the slots of a backend server. The limit starts at initialLimit, the number
// of calls that the server claims to be able to run at once, or at a default if that is
// 0.
func New(policy berylpolicy.Policy, initialLimit int, guard *berylinvariant.Guard) *Slots {
	opts := []func(*beryllimit.Limit){}
	if initialLimit > 0 {
		opts = append(opts, beryllimit.Initial(initialLimit))
	}
	return &Slots{
		policy: policy,
		guard:  guard,
		limit:  beryllimit.New(opts...),
		level:  beryllevel.New(),
		queue:  berylqueue.New[*waiter](queueCapacity),
		now:    time.Now,
	}
}

// Threshold returns the highest order of calls that are admitted now.
func (s *Slots) Threshold() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.level.Threshold()
}

// ExpectedWait estimates how long a call of the given order would wait for a slot now.
func (s *Slots) ExpectedWait(order float64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.queue.CountAhead(order)
	if s.hasFreeSlot(false) && n == 0 {
		return 0
	}
	return time.Duration(n+1) * s.meanSlotTime / time.Duration(max(s.currentLimit(), 1))
}

// State returns the concurrency limit, the numbers of running calls and running streams,
// and the number of both that wait.
func (s *Slots) State() (limit, calls, streams, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.currentLimit(), s.runningCalls, s.runningStreams, s.queue.Len()
}

func (s *Slots) currentLimit() int {
	if s.policy.FixedLimit > 0 {
		return s.policy.FixedLimit
	}
	return s.limit.Current()
}

// hasFreeSlot reports whether a call, or a stream if stream is set, may start now.
func (s *Slots) hasFreeSlot(stream bool) bool {
	if s.policy.Unlimited {
		return true
	}
	limit := s.currentLimit()
	if stream && float64(s.runningStreams+1) > max(1, float64(limit)*maxStreamFraction) {
		return false
	}
	return s.runningCalls+s.runningStreams < limit
}

// Acquire gets a slot for a call or a stream of the given order. It waits no longer than
// maxWait or the deadline of ctx and returns a refusal if it gets none.
//
// The caller must call the returned function when the call has ended, to release the
// slot. It takes how long the call held the slot, how much of that it waited for nested
// calls to other services, and whether the backend server rejected it.
func (s *Slots) Acquire(ctx context.Context, order float64, stream bool) (func(slotTime, nestedTime time.Duration, rejected bool), *berylrefusal.Refusal) {
	s.mu.Lock()
	now := s.now()
	if s.policy.AdmissionLevel && !s.level.Admit(now, order) {
		s.mu.Unlock()
		return nil, overloadRefusal("the service is overloaded and admits only more important calls")
	}
	if d, ok := ctx.Deadline(); ok && d.Sub(now) < max(s.meanSlotTime/2, minRemainingTime) {
		s.mu.Unlock()
		return nil, berylrefusal.NewNotRun(berylrefusal.Deadline, connect.CodeDeadlineExceeded, "too little time is left to run the call")
	}
	if s.hasFreeSlot(stream) && s.queue.Len() == 0 {
		s.start(now, stream, 0)
		s.mu.Unlock()
		return s.release(stream), nil
	}
	if !s.policy.PriorityOrder {
		// First come, first served.
		order = float64(now.UnixNano())
	}
	w := &waiter{done: make(chan struct{}), enqueuedAt: now, order: order, stream: stream}
	s.enqueue(ctx, now, w)
	s.mu.Unlock()
	return s.await(ctx, w)
}

func overloadRefusal(text string) *berylrefusal.Refusal {
	r := berylrefusal.NewNotRun(berylrefusal.Overload, connect.CodeResourceExhausted, text)
	r.RetryAfter = overloadRetryAfter
	return r
}

// enqueue adds w to the queue and refuses the least important waiter if it is full.
func (s *Slots) enqueue(ctx context.Context, now time.Time, w *waiter) {
	deadline := now.Add(maxWait)
	if d, ok := ctx.Deadline(); ok && d.Add(-s.meanSlotTime).Before(deadline) {
		deadline = d.Add(-s.meanSlotTime)
	}
	if evicted, wasFull := s.queue.Push(w.order, deadline, w); wasFull {
		s.level.RecordDrop(now)
		s.guard.Check(evicted.order >= s.queue.LeastImportant(), berylinvariant.Shed, "call of order %g evicted from the queue while one of order %g is kept", evicted.order, s.queue.LeastImportant())
		evicted.refuse(overloadRefusal("the queue is full of more important calls"))
	}
	s.startWaiting(now)
}

func (w *waiter) refuse(r *berylrefusal.Refusal) {
	w.refusal = r
	close(w.done)
}

// await waits until w has a slot or is refused.
func (s *Slots) await(ctx context.Context, w *waiter) (func(slotTime, nestedTime time.Duration, rejected bool), *berylrefusal.Refusal) {
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case <-w.done:
	case <-ctx.Done():
		s.abandon(w, berylrefusal.NewNotRun(berylrefusal.Canceled, connect.CodeCanceled, "the caller gave up while the call waited"))
	case <-timer.C:
		s.abandon(w, overloadRefusal("the call waited too long for a slot"))
	}
	if w.refusal != nil {
		return nil, w.refusal
	}
	return s.release(w.stream), nil
}

// abandon removes w from the queue and refuses it with r, unless it was given a slot or
// refused in the meantime.
func (s *Slots) abandon(w *waiter, r *berylrefusal.Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.queue.Remove(func(other *waiter) bool { return other == w }) {
		s.level.RecordWait(s.now(), s.now().Sub(w.enqueuedAt))
		w.refuse(r)
		return
	}
	<-w.done
}

// start counts a call or stream that was given a slot.
func (s *Slots) start(now time.Time, stream bool, waited time.Duration) {
	s.level.RecordWait(now, waited)
	if stream {
		s.runningStreams++
		return
	}
	s.runningCalls++
}

// release returns the function that releases a slot. Streams take up the limit but are
// not used to adapt it.
func (s *Slots) release(stream bool) func(slotTime, nestedTime time.Duration, rejected bool) {
	return func(slotTime, nestedTime time.Duration, rejected bool) {
		s.mu.Lock()
		defer s.mu.Unlock()
		now := s.now()
		if stream {
			s.runningStreams--
		} else {
			s.limit.Record(now, max(slotTime-nestedTime, 0), slotTime, s.runningCalls+s.runningStreams, rejected)
			s.meanSlotTime += time.Duration(float64(slotTime-s.meanSlotTime) * slotTimeSmoothing)
			s.level.SetSlotInterval(s.meanSlotTime.Seconds() / float64(max(s.currentLimit(), 1)))
			s.runningCalls--
		}
		s.startWaiting(now)
	}
}

// startWaiting starts waiting calls while slots are free. Streams that may not start
// because streams hold their whole fraction of the limit go back to the queue.
func (s *Slots) startWaiting(now time.Time) {
	var blockedStreams []*waiter
	for s.hasFreeSlot(false) {
		w, ok := s.queue.Pop(now, func(w *waiter) {
			s.level.RecordWait(now, now.Sub(w.enqueuedAt))
			w.refuse(overloadRefusal("the call waited too long for a slot"))
		})
		if !ok {
			break
		}
		if w.stream && !s.hasFreeSlot(true) {
			blockedStreams = append(blockedStreams, w)
			continue
		}
		s.start(now, w.stream, now.Sub(w.enqueuedAt))
		close(w.done)
	}
	for _, w := range blockedStreams {
		s.queue.Push(w.order, w.enqueuedAt.Add(maxWait), w)
	}
}
