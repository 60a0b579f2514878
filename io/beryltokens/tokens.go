// Package beryltokens gives backend servers opaque names for the calls that
// they work for, so that their own calls run for the same workspace and within
// the same limits.
package beryltokens

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"sync"
	"time"

	"berylspan/core/berylcall"
	"berylspan/core/beryllevel"
)

// Tokens is safe for concurrent use.
type Tokens struct {
	mu   sync.Mutex
	live map[string]*entry
}

type entry struct {
	ctx  context.Context
	call berylcall.Call
	left int
	path float64
	open int           // nested calls under way
	from time.Time     // since when there are any
	away time.Duration // time with any
}

// New returns a table without tokens.
func New() *Tokens { return &Tokens{live: map[string]*entry{}} }

// Issue names the call. Nested calls may use its retry allowance and end with
// ctx.
func (t *Tokens) Issue(ctx context.Context, c *berylcall.Call) string {
	var b [16]byte
	_, _ = rand.Read(b[:])
	name := hex.EncodeToString(b[:])
	t.mu.Lock()
	defer t.mu.Unlock()
	t.live[name] = &entry{ctx: ctx, call: *c, left: c.RetriesLeft, path: beryllevel.AdmitAll}
	return name
}

// Begin returns the call that name stands for and its context, and takes all
// of its retry allowance for a nested call.
func (t *Tokens) Begin(name string) (context.Context, berylcall.Call, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.live[name]
	if !ok {
		return nil, berylcall.Call{}, false
	}
	c := e.call
	c.RetriesLeft = e.left
	e.left = 0
	if e.open == 0 {
		e.from = time.Now()
	}
	e.open++
	return e.ctx, c, true
}

// Return gives back what a nested call left of the allowance and the admission
// level that it met.
func (t *Tokens) Return(name string, left int, path float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.live[name]
	if !ok {
		return
	}
	e.left += left
	e.path = min(e.path, path)
	e.open--
	if e.open == 0 {
		e.away += time.Since(e.from)
	}
}

// End forgets the token and returns the allowance left, the lowest admission
// level that nested calls met, and how long the call waited for nested ones.
func (t *Tokens) End(name string) (left int, path float64, away time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.live[name]
	if !ok {
		return 0, beryllevel.AdmitAll, 0
	}
	delete(t.live, name)
	if e.open > 0 {
		e.away += time.Since(e.from)
	}
	return e.left, e.path, e.away
}
