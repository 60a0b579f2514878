// Package berylagenda runs functions in the order of a virtual time, for models
// and tests.
package berylagenda

import (
	"container/heap"
	"time"
)

// Agenda holds what is still to be done. It is not safe for concurrent use.
type Agenda struct {
	now   time.Duration
	seq   int
	queue events
}

// Now returns the virtual time since the begin.
func (a *Agenda) Now() time.Duration { return a.now }

// After plans do for d from now. What is planned for the same time is done in the
// order of planning.
func (a *Agenda) After(d time.Duration, do func()) {
	a.seq++
	heap.Push(&a.queue, event{a.now + d, a.seq, do})
}

// Run does what is planned up to end, and what that plans.
func (a *Agenda) Run(end time.Duration) {
	for len(a.queue) > 0 && a.queue[0].at <= end {
		e, _ := heap.Pop(&a.queue).(event)
		a.now = e.at
		e.do()
	}
}

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *events) Push(v any) {
	ev, _ := v.(event)
	*e = append(*e, ev)
}

func (e *events) Pop() any {
	old := *e
	v := old[len(old)-1]
	*e = old[:len(old)-1]
	return v
}
