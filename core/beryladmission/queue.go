package beryladmission

import "time"

type entry[T any] struct {
	rank     int
	seq      uint64
	request  Request
	target   time.Time
	deadline time.Time
	late     bool // the rank was lowered because the target latency cannot be met
	value    T
}

type queue[T any] []*entry[T]

func (q queue[T]) Len() int { return len(q) }

func (q queue[T]) Less(i, j int) bool {
	if q[i].rank != q[j].rank {
		return q[i].rank < q[j].rank
	}
	return q[i].seq < q[j].seq
}

func (q queue[T]) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *queue[T]) Push(v any) {
	e, _ := v.(*entry[T])
	*q = append(*q, e)
}

func (q *queue[T]) Pop() any {
	old := *q
	n := len(old) - 1
	e := old[n]
	old[n] = nil
	*q = old[:n]
	return e
}
