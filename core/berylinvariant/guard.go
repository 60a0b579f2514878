// Package berylinvariant checks invariants at run time and counts violations.
package berylinvariant

import (
	"fmt"
	"sync"
)

// Guard checks invariants. Every violation is counted and passed to the function set
// with OnViolation. That function fails the test in tests; in production it logs, and in
// strict mode also ends the process. Guard is safe for concurrent use.
type Guard struct {
	mu          sync.Mutex
	counts      map[string]int
	onViolation func(invariant, text string)
}

// The invariants, as named in metrics and reports.
const (
	Retries   = "retries"   // retries stay within the allowance of the root call
	Shed      = "shed"      // no call is shed while a less important one is kept
	Owner     = "owner"     // a call runs only for the workspace of its key
	Key       = "key"       // no backend server sees a key
	Withdrawn = "withdrawn" // a withdrawn key starts no call
	Rate      = "rate"      // no token is spent twice or after its expiry
	Answer    = "answer"    // an answer belongs to its call and is complete
	Refusal   = "refusal"   // a call refused as not run was not run
	Once      = "once"      // a non-idempotent call runs at most once
	Leaving   = "leaving"   // a draining backend server gets no new call
	Stop      = "stop"      // a planned shutdown aborts no call
	Revision  = "revision"  // the configuration in force never reverts
)

// OnViolation sets the function that is called on each violation.
func OnViolation(f func(invariant, text string)) func(*Guard) {
	return func(g *Guard) { g.onViolation = f }
}

// New returns a guard that only counts violations unless OnViolation is given.
func New(opts ...func(*Guard)) *Guard {
	g := &Guard{counts: map[string]int{}, onViolation: func(string, string) {}}
	for _, o := range opts {
		o(g)
	}
	return g
}

// Check records a violation of the invariant unless ok is true. The format and args
// describe the violation.
func (g *Guard) Check(ok bool, invariant, format string, args ...any) {
	if ok {
		return
	}
	g.mu.Lock()
	g.counts[invariant]++
	g.mu.Unlock()
	g.onViolation(invariant, fmt.Sprintf(format, args...))
}

// Counts returns the number of violations by invariant.
func (g *Guard) Counts() map[string]int {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make(map[string]int, len(g.counts))
	for k, v := range g.counts {
		out[k] = v
	}
	return out
}

// Total returns the number of violations of all invariants.
func (g *Guard) Total() int {
	n := 0
	for _, v := range g.Counts() {
		n += v
	}
	return n
}
