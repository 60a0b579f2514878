// Package berylmemory charges what connections make the process hold, and closes those that
// hold most when that is too much.
package berylmemory

import (
	"sync"

	"berylspan/core/berylmemorybudget"
)

// Memory is the budget of the process. It is safe for concurrent use.
type Memory struct {
	mu     sync.Mutex
	budget *berylmemorybudget.Budget
	evict  map[*berylmemorybudget.Account]func()
}

// Holder is a connection that memory is held for.
type Holder struct {
	memory  *Memory
	account *berylmemorybudget.Account
}

// New returns a memory of which nothing is held.
func New(limits berylmemorybudget.Limits) *Memory {
	return &Memory{budget: berylmemorybudget.New(limits), evict: map[*berylmemorybudget.Account]func(){}}
}

// SetLimits sets other limits.
func (m *Memory) SetLimits(limits berylmemorybudget.Limits) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.budget.SetLimits(limits)
}

// Held returns how many bytes are held.
func (m *Memory) Held() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.budget.Total()
}

// Open adds a connection from a client address. evict closes it; it is called by Charge of
// another connection. A connection without it is never closed for another one.
func (m *Memory) Open(addr string, evict func()) *Holder {
	m.mu.Lock()
	defer m.mu.Unlock()
	a := m.budget.Open(addr, evict != nil)
	if evict != nil {
		m.evict[a] = evict
	}
	return &Holder{memory: m, account: a}
}

// Close releases all that is held for the connection.
func (h *Holder) Close() {
	m := h.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	m.budget.Close(h.account)
	delete(m.evict, h.account)
}

// Charge reports whether n more bytes may be held. The caller must not hold a lock that the
// function evict of a connection takes.
func (h *Holder) Charge(n int64) bool {
	m := h.memory
	m.mu.Lock()
	evicted, ok := m.budget.Charge(h.account, n)
	var closing []func()
	for _, a := range evicted {
		closing = append(closing, m.evict[a])
		delete(m.evict, a)
	}
	m.mu.Unlock()
	for _, f := range closing {
		f()
	}
	return ok
}

// Release records that n bytes are no longer held. ahead is set if that ends a request that was
// counted by BeginAhead.
func (h *Holder) Release(n int64, ahead bool) {
	m := h.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	m.budget.Release(h.account, n)
	if ahead {
		m.budget.EndAhead(h.account)
	}
}

// MayReadAhead reports whether n more bytes may be held for a request behind another one.
func (h *Holder) MayReadAhead(n int64) bool {
	m := h.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.budget.MayReadAhead(h.account, n)
}

// BeginAhead counts a request behind another one until Release, if n more bytes may be held for
// it.
func (h *Holder) BeginAhead(n int64) bool {
	m := h.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.budget.BeginAhead(h.account, n)
}
