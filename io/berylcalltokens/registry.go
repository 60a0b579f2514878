// Package berylcalltokens issues call tokens. A backend server gets an opaque token with each
// call and sends it with the nested calls that it makes, so that these run for the same
// workspace and within the same limits. Call tokens are not the tokens of rate limits.
package berylcalltokens

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"sync"
	"time"

	"berylspan/core/berylcall"
	"berylspan/core/beryllevel"
)

// Registry holds the tokens of the calls that run on the backend server. It is safe for
// concurrent use.
type Registry struct {
	mu      sync.Mutex
	entries map[string]*entry
}

type entry struct {
	ctx           context.Context
	call          berylcall.Call
	retriesLeft   int
	pathThreshold float64
	nestedCalls   int           // running now
	nestedSince   time.Time     // start of the period with nested calls, valid if there are any
	nestedTime    time.Duration // total time with nested calls in the periods that have ended
}

// New returns a registry without tokens.
func New() *Registry { return &Registry{entries: map[string]*entry{}} }

// Issue returns a token for the call, valid until Revoke. Nested calls share the retry
// allowance of the call and end with ctx.
func (r *Registry) Issue(ctx context.Context, c *berylcall.Call) string {
	var b [16]byte
	_, _ = rand.Read(b[:])
	token := hex.EncodeToString(b[:])
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entries[token] = &entry{ctx: ctx, call: *c, retriesLeft: c.RetriesLeft, pathThreshold: beryllevel.AdmitAll}
	return token
}

// BeginNested records the start of a nested call. It returns the context and the call of
// the token, and whether the token is valid. The call has the whole remaining retry
// allowance; nested calls that begin before EndNested get none.
func (r *Registry) BeginNested(token string) (context.Context, berylcall.Call, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.entries[token]
	if !ok {
		return nil, berylcall.Call{}, false
	}
	c := e.call
	c.RetriesLeft = e.retriesLeft
	e.retriesLeft = 0
	if e.nestedCalls == 0 {
		e.nestedSince = time.Now()
	}
	e.nestedCalls++
	return e.ctx, c, true
}

// EndNested records the end of a nested call: the retries that it left of the allowance
// and the lowest admission threshold that it met.
func (r *Registry) EndNested(token string, retriesLeft int, pathThreshold float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.entries[token]
	if !ok {
		return
	}
	e.retriesLeft += retriesLeft
	e.pathThreshold = min(e.pathThreshold, pathThreshold)
	e.nestedCalls--
	if e.nestedCalls == 0 {
		e.nestedTime += time.Since(e.nestedSince)
	}
}

// Revoke removes the token and returns the retries left of the call's allowance, the
// lowest admission threshold that its nested calls met, and how long at least one of
// them was running.
func (r *Registry) Revoke(token string) (retriesLeft int, pathThreshold float64, nestedTime time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.entries[token]
	if !ok {
		return 0, beryllevel.AdmitAll, 0
	}
	delete(r.entries, token)
	if e.nestedCalls > 0 {
		e.nestedTime += time.Since(e.nestedSince)
	}
	return e.retriesLeft, e.pathThreshold, e.nestedTime
}
