package berylhttpserver

import (
	"context"
	"slices"
	"time"
)

// pendingRequest is a request that was read and whose answer is not yet written.
type pendingRequest struct {
	id, host, path string // empty if its header could not be read
	receivedAt     time.Time
	wait           Wait
	charged        int64                   // bytes of memory
	removed        bool                    // nothing more is held for it
	ahead          bool                    // it was read while an earlier one was pending
	late           bool                    // it began to arrive after restrict
	cancel         context.CancelCauseFunc // while it is being handled, else nil
}

func (p *pendingRequest) unanswered(err error) Unanswered {
	return Unanswered{ID: p.id, Host: p.host, Path: p.path, Age: time.Since(p.receivedAt), Wait: p.wait, Err: err}
}

func (c *conn) addPending(p *pendingRequest) {
	c.mu.Lock()
	p.ahead, c.nextIsAhead = c.nextIsAhead, false
	c.pending = append(c.pending, p)
	c.arriving, p.late = false, c.late
	c.mu.Unlock()
	c.meter.assign(p)
}

// removePending removes a request. It returns false if Close has removed and reported it.
func (c *conn) removePending(p *pendingRequest) bool {
	c.mu.Lock()
	i := slices.Index(c.pending, p)
	if i >= 0 {
		c.pending = slices.Delete(c.pending, i, i+1)
	}
	charged := p.charged
	p.charged, p.removed = 0, true
	c.mu.Unlock()
	c.mem.Release(charged, p.ahead && i >= 0)
	return i >= 0
}

// beginHandling returns the context for handling a request, or false if the request must not
// be started any more.
func (c *conn) beginHandling(p *pendingRequest, r *Request) (context.Context, bool) {
	needed := r.Stream != nil && c.server.serves(r)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended || c.isWorkEnded() || (r.Stream != nil && c.needsWholeBody(p, needed)) {
		return nil, false
	}
	ctx, cancel := context.WithCancelCause(c.ctx)
	p.wait, p.cancel = WaitHandler, cancel
	return ctx, true
}

// needsWholeBody reports whether a request is not started before all of its body is there. While the
// server stops, nobody knows when the rest of a body will come, and with it the answer. needed is set
// if the request is served while the server stops. The caller holds the lock.
func (c *conn) needsWholeBody(p *pendingRequest, needed bool) bool {
	return c.readingStopped || (!p.late && (c.restricted || (c.keepAliveDisabled && !needed)))
}

// endHandling records that the answer to a request is known. It returns the function that
// ends the context of the request, to be called when the answer is written: its body may be
// streamed until then, even if the time of a stop is over.
func (c *conn) endHandling(p *pendingRequest, a *Answer) func() {
	c.mu.Lock()
	defer c.mu.Unlock()
	cancel := p.cancel
	p.cancel = nil
	if !a.Abort {
		p.wait = WaitEarlierAnswer
	}
	if cancel == nil { // It was not started.
		return func() {}
	}
	return func() { cancel(nil) }
}

func (c *conn) setWait(p *pendingRequest, wait Wait) {
	c.mu.Lock()
	p.wait = wait
	c.mu.Unlock()
}

// removeUnanswered removes a request that ends without an answer, and reports it while the
// server stops.
func (c *conn) removeUnanswered(p *pendingRequest) {
	if !c.removePending(p) {
		return
	}
	c.mu.Lock()
	stopping, u := c.keepAliveDisabled, p.unanswered(c.err)
	c.mu.Unlock()
	if stopping {
		c.server.onUnanswered(u)
	}
}

// removeAllUnanswered removes and reports all requests before the server closes the
// connection.
func (c *conn) removeAllUnanswered() {
	c.mu.Lock()
	all := make([]Unanswered, len(c.pending))
	for i, p := range c.pending {
		all[i] = p.unanswered(errClosed)
	}
	c.pending = nil
	c.mu.Unlock()
	for _, u := range all {
		c.server.onUnanswered(u)
	}
}
