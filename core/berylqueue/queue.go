// Package berylqueue holds calls that wait for a slot of the backend server.
package berylqueue

import (
	"container/heap"
	"time"
)

// Queue is a bounded priority queue of waiting calls. A lower priority value means a
// more important call; among calls of equal priority the newest comes first. It is
// not safe for concurrent use.
type Queue[T any] struct {
	items    itemHeap[T]
	capacity int
	seq      uint64
}

type item[T any] struct {
	priority float64
	deadline time.Time
	seq      uint64
	value    T
}

// New returns a queue that holds at most capacity calls.
func New[T any](capacity int) *Queue[T] { return &Queue[T]{capacity: capacity} }

// Len returns the number of waiting calls.
func (q *Queue[T]) Len() int { return len(q.items) }

// Push adds a call that can wait until the deadline. If the queue is full, the least
// important call is evicted and returned with true; that may be the new one.
func (q *Queue[T]) Push(priority float64, deadline time.Time, v T) (T, bool) {
	q.seq++
	heap.Push(&q.items, item[T]{priority: priority, deadline: deadline, seq: q.seq, value: v})
	if len(q.items) <= q.capacity {
		var zero T
		return zero, false
	}
	last := 0
	for i := range q.items {
		if q.items.Less(last, i) {
			last = i
		}
	}
	evicted, _ := heap.Remove(&q.items, last).(item[T])
	return evicted.value, true
}

// Pop removes and returns the most important call that has not passed its deadline,
// and whether there was one. It removes the calls past their deadline that come
// before it and passes each to expired.
func (q *Queue[T]) Pop(now time.Time, expired func(T)) (T, bool) {
	for len(q.items) > 0 {
		it, _ := heap.Pop(&q.items).(item[T])
		if now.Before(it.deadline) {
			return it.value, true
		}
		expired(it.value)
	}
	var zero T
	return zero, false
}

// LeastImportant returns the priority value of the least important call, or 0 if the
// queue is empty.
func (q *Queue[T]) LeastImportant() float64 {
	last := 0.0
	for i := range q.items {
		last = max(last, q.items[i].priority)
	}
	return last
}

// CountAhead returns the number of calls that are more important than the given
// priority.
func (q *Queue[T]) CountAhead(priority float64) int {
	n := 0
	for i := range q.items {
		if q.items[i].priority < priority {
			n++
		}
	}
	return n
}

// Remove removes the first call that match accepts and reports whether there was
// one.
func (q *Queue[T]) Remove(match func(T) bool) bool {
	for i := range q.items {
		if match(q.items[i].value) {
			heap.Remove(&q.items, i)
			return true
		}
	}
	return false
}

type itemHeap[T any] []item[T]

func (h itemHeap[T]) Len() int { return len(h) }

func (h itemHeap[T]) Less(i, j int) bool {
	if h[i].priority != h[j].priority {
		return h[i].priority < h[j].priority
	}
	return h[i].seq > h[j].seq
}

func (h itemHeap[T]) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *itemHeap[T]) Push(v any) {
	it, _ := v.(item[T])
	*h = append(*h, it)
}

func (h *itemHeap[T]) Pop() any {
	old := *h
	n := len(old) - 1
	it := old[n]
	old[n] = item[T]{}
	*h = old[:n]
	return it
}
