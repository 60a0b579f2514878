// Package berylline decides which requests a backend server runs, which wait
// beside it and which are turned away.
//
// It answers a server that is offered more than it can run: the server itself
// would queue in order of arrival, or hang. Requests wait here instead, nested
// calls before new work and urgent before less urgent, and a request that could
// not be finished in time is refused when it arrives, not after it has waited.
package berylline

import (
	"container/heap"
	"time"
)

// Ask is a request at a line. Rank orders those that wait, least first. Calls
// are made by work that already runs. Kind groups requests whose times are
// alike. Left is the time after which an answer is useless; Aim the time until
// which it is of full use, not positive when that has passed.
type Ask struct {
	Rank int
	Call bool
	Kind string
	Left time.Duration
	Aim  time.Duration
}

// Verdict says what becomes of a request.
type Verdict int

// Verdicts.
const (
	Start Verdict = iota
	Wait
	Refuse
)

// Line holds what runs and what waits; T is what the caller keeps of a waiting
// request. It is not safe for concurrent use.
type Line[T any] struct {
	limit   int
	running int
	calls   int                // of the running ones
	waiting queue[T]           // new work
	nested  queue[T]           // calls
	debt    float64            // seconds of calls begun while new work waited, less its due
	holds   map[string]float64 // seconds by kind
	hold    float64            // seconds, all kinds
	inCalls float64            // part of the limit that calls use, moving mean
	seq     uint64
}

const (
	smooth      = 0.05  // weight of the newest time in a moving mean
	firstHold   = 0.05  // seconds; of a kind not yet seen
	spread      = 1.4   // factor from a mean time to one that most requests keep
	mostWaiting = 40    // waiting requests for each that may run; time bounds the queue long before
	leastQueue  = 32    // waiting requests that are always held
	newShare    = 0.15  // part of the slots that new work gets while calls wait as well
	lateRank    = 1_000 // added to the rank of a request past its aim
)

// New returns a line for a server that runs limit requests at once.
func New[T any](limit int) *Line[T] {
	return &Line[T]{limit: max(limit, 1), holds: map[string]float64{}}
}

// SetLimit changes how many requests run at once.
func (l *Line[T]) SetLimit(n int) { l.limit = max(n, 1) }

// State returns the numbers of running and waiting requests and the limit.
func (l *Line[T]) State() (running, waiting, limit int) {
	return l.running, len(l.waiting) + len(l.nested), l.limit
}

// Hold returns the mean time that requests of a kind run.
func (l *Line[T]) Hold(kind string) time.Duration {
	return time.Duration(l.holdOf(kind) * float64(time.Second))
}

func (l *Line[T]) holdOf(kind string) float64 {
	if h, ok := l.holds[kind]; ok {
		return h
	}
	if l.hold > 0 {
		return l.hold
	}
	return firstHold
}

// Expect returns how long a request would wait.
func (l *Line[T]) Expect(a Ask) time.Duration {
	if l.running < l.limit && l.idle() {
		return 0
	}
	ahead, part := l.waiting, max(1-l.inCalls, newShare)
	if a.Call {
		ahead, part = l.nested, 1
		if len(l.waiting) > 0 {
			part = 1 - newShare
		}
	}
	rank := order(a)
	work := max(l.hold, firstHold/10)
	for i := range ahead {
		if ahead[i].rank <= rank {
			work += l.holdOf(ahead[i].ask.Kind)
		}
	}
	return time.Duration(work / (float64(l.limit) * part) * float64(time.Second))
}

func (l *Line[T]) idle() bool { return len(l.waiting)+len(l.nested) == 0 }

// Arrive decides on a new request. With Wait it is kept together with v; with
// Refuse the duration is when there may be room.
func (l *Line[T]) Arrive(now time.Time, a Ask, v T) (Verdict, time.Duration) {
	l.observe()
	if l.running < l.limit && l.idle() {
		l.begin(a)
		return Start, 0
	}
	wait := l.Expect(a)
	bound := a.Left
	need := l.holdOf(a.Kind)
	if !a.Call {
		need *= spread
		if a.Aim > 0 {
			bound = min(a.Aim, a.Left)
		}
	}
	over := wait + time.Duration(need*float64(time.Second)) - bound
	queue := &l.waiting
	if a.Call {
		queue = &l.nested
	}
	if over > 0 || len(*queue) >= max(leastQueue, mostWaiting*l.limit) {
		return Refuse, max(over, wait)
	}
	l.seq++
	heap.Push(queue, &item[T]{rank: order(a), seq: l.seq, ask: a, until: now.Add(a.Left), value: v})
	return Wait, wait
}

func order(a Ask) int {
	if a.Aim <= 0 && !a.Call {
		return a.Rank + lateRank
	}
	return a.Rank
}

func (l *Line[T]) begin(a Ask) {
	l.running++
	if a.Call {
		l.calls++
	}
}

func (l *Line[T]) observe() {
	l.inCalls += smooth * (float64(l.calls)/float64(l.limit) - l.inCalls)
}

// Done records that a request ended; took counts for the moving means when the
// server ran it.
func (l *Line[T]) Done(a Ask, took time.Duration, ran bool) {
	l.running--
	if a.Call {
		l.calls--
	}
	if !ran {
		return
	}
	s := took.Seconds()
	if h, ok := l.holds[a.Kind]; ok {
		l.holds[a.Kind] = h + smooth*(s-h)
	} else {
		l.holds[a.Kind] = s
	}
	if l.hold == 0 {
		l.hold = s
	}
	l.hold += smooth * (s - l.hold)
}

// Next returns a request that starts now, or one that can no longer be finished
// in time with expired set; ok is false when there is neither.
func (l *Line[T]) Next(now time.Time) (v T, expired, ok bool) {
	if l.idle() || l.running >= l.limit {
		return v, false, false
	}
	it, _ := heap.Pop(l.turn()).(*item[T])
	need := l.holdOf(it.ask.Kind) / 2
	if now.Add(time.Duration(need * float64(time.Second))).After(it.until) {
		return it.value, true, true
	}
	l.begin(it.ask)
	return it.value, false, true
}

// turn returns the queue that is served next. Calls go first, but new work gets
// its share.
func (l *Line[T]) turn() *queue[T] {
	switch {
	case len(l.nested) == 0:
		l.debt = 0
		return &l.waiting
	case len(l.waiting) == 0:
		l.debt = 0
		return &l.nested
	}
	if due := l.holdOf(l.waiting[0].ask.Kind); l.debt*newShare/(1-newShare) >= due {
		l.debt -= due * (1 - newShare) / newShare
		return &l.waiting
	}
	l.debt += l.holdOf(l.nested[0].ask.Kind)
	return &l.nested
}

// Leave takes a waiting request out and tells whether it was there.
func (l *Line[T]) Leave(match func(T) bool) bool {
	for _, queue := range []*queue[T]{&l.waiting, &l.nested} {
		for i, it := range *queue {
			if match(it.value) {
				heap.Remove(queue, i)
				return true
			}
		}
	}
	return false
}
