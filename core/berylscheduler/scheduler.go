// Package berylscheduler schedules functions in virtual time, for simulations and tests.
package berylscheduler

import (
	"container/heap"
	"time"
)

// Scheduler is a discrete-event scheduler: a virtual clock and a queue of functions to
// run. The zero value is ready for use. It is not safe for concurrent use.
type Scheduler struct {
	now     time.Duration
	lastSeq int
	queue   eventQueue
}

// Now returns the virtual time since the start.
func (s *Scheduler) Now() time.Duration { return s.now }

// After schedules fn to run after d. Functions that are due at the same time run in
// the order in which they were scheduled.
func (s *Scheduler) After(d time.Duration, fn func()) {
	s.lastSeq++
	heap.Push(&s.queue, event{s.now + d, s.lastSeq, fn})
}

// RunUntil runs all functions that are due up to end, including those that they
// schedule. The clock stops at the time of the last function that ran.
func (s *Scheduler) RunUntil(end time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= end {
		e, _ := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.fn()
	}
}

type event struct {
	at  time.Duration
	seq int
	fn  func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(v any) {
	ev, _ := v.(event)
	*q = append(*q, ev)
}

func (q *eventQueue) Pop() any {
	old := *q
	v := old[len(old)-1]
	*q = old[:len(old)-1]
	return v
}
