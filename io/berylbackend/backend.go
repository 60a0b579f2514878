// Package berylbackend runs calls on the backend server beside the daemon.
package berylbackend

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"berylspan/core/berylcall"
	"berylspan/core/berylexchange"
	"berylspan/core/berylinvariant"
	"berylspan/core/beryllevel"
	"berylspan/core/beryloutcome"
	"berylspan/core/berylrefusal"
	"berylspan/io/berylheader"
	"berylspan/io/berylrelay"
	"berylspan/io/berylslots"
	"berylspan/io/beryltokens"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"
)

// Backend is safe for concurrent use.
type Backend struct {
	addr   string
	relay  *berylrelay.Relay
	slots  *berylslots.Slots
	tokens *beryltokens.Tokens
	guard  *berylinvariant.Guard
	left   atomic.Int64 // when it began to leave, in nanoseconds since 1970; 0 before
}

// leaveWithin is how long a leaving backend server may still get new calls.
const leaveWithin = 3 * time.Second

// New returns a backend server at addr.
func New(addr string, relay *berylrelay.Relay, slots *berylslots.Slots, tokens *beryltokens.Tokens, guard *berylinvariant.Guard) *Backend {
	return &Backend{addr: addr, relay: relay, slots: slots, tokens: tokens, guard: guard}
}

// Leave makes every later Run refuse.
func (b *Backend) Leave() { b.left.Store(time.Now().UnixNano()) }

// Run runs the call once it may, and refuses as not run otherwise.
func (b *Backend) Run(ctx context.Context, c *berylcall.Call, x *berylexchange.Exchange) *beryloutcome.Outcome {
	arrived := time.Now()
	if b.left.Load() != 0 {
		r := berylrefusal.NewNotRun(berylrefusal.Leaving, connect.CodeUnavailable, "the instance is leaving")
		return beryloutcome.Refuse(r, c.RetriesLeft)
	}
	release, ref := b.slots.Acquire(ctx, c.Order(), x.Sink != nil)
	if ref != nil {
		out := beryloutcome.Refuse(ref, c.RetriesLeft)
		out.PathThreshold = beryllevel.AdmitAll
		b.tell(c, out)
		return out
	}
	if ref := late(ctx, c); ref != nil {
		release(0, 0, false)
		return beryloutcome.Refuse(ref, c.RetriesLeft)
	}
	left := b.left.Load()
	b.guard.Check(left == 0 || arrived.UnixNano() <= left+leaveWithin.Nanoseconds(), berylinvariant.Leaving, "call %s came to a leaving server", c.ID)
	out := b.send(ctx, c, x, release)
	b.tell(c, out)
	return out
}

// tell adds what callers should know of the load.
func (b *Backend) tell(c *berylcall.Call, out *beryloutcome.Outcome) {
	out.Threshold = b.slots.Threshold()
	out.PathThreshold = min(out.PathThreshold, out.Threshold)
	out.ExpectedWait = b.slots.ExpectedWait(c.Order())
}

// late refuses a call whose permission to begin ran out while it waited or
// while the process was paused.
func late(ctx context.Context, c *berylcall.Call) *berylrefusal.Refusal {
	now := time.Now()
	if ctx.Err() != nil {
		return berylrefusal.NewNotRun(berylrefusal.Canceled, connect.CodeCanceled, "the caller gave up before the call began")
	}
	if !c.Deadline.IsZero() && !now.Before(c.Deadline) {
		return berylrefusal.NewNotRun(berylrefusal.Deadline, connect.CodeDeadlineExceeded, "the time was up before the call began")
	}
	if !c.StartBy.IsZero() && !now.Before(c.StartBy) {
		return berylrefusal.NewNotRun(berylrefusal.Rate, connect.CodeUnavailable, "the permission to begin ran out while the call waited")
	}
	return nil
}

func (b *Backend) send(ctx context.Context, c *berylcall.Call, x *berylexchange.Exchange, release func(took, away time.Duration, shed bool)) *beryloutcome.Outcome {
	token := b.tokens.Issue(ctx, c)
	h := make(http.Header, 3)
	h.Set(berylheader.Token, token)
	h.Set(berylheader.Call, c.ID)
	if c.IdempotencyKey != "" {
		// The canonical name would let net/http repeat the request.
		h["idempotency-key"] = []string{c.IdempotencyKey}
	}
	b.guard.Check(x.Header.Get("Authorization") == "" && x.Header.Get(berylheader.Key) == "", berylinvariant.Key, "call %s carries a key", c.ID)
	if x.Sink != nil {
		x = checked(c, x)
	}
	begun := time.Now()
	out := b.relay.Do(ctx, b.addr, x, h, c.Route.Timeout)
	var away time.Duration
	out.RetriesLeft, out.PathThreshold, away = b.tokens.End(token)
	b.guard.Check(out.RetriesLeft <= c.RetriesLeft, berylinvariant.Retries, "call %s returned %d of %d retries", c.ID, out.RetriesLeft, c.RetriesLeft)
	b.examine(c, out)
	shed := out.Refusal != nil && !out.Refusal.MayHaveRun
	release(time.Since(begun), away, shed)
	return out
}

// checked drops the messages of a stream that answers another call.
func checked(c *berylcall.Call, x *berylexchange.Exchange) *berylexchange.Exchange {
	y := *x
	y.Sink = func(header http.Header, message []byte) error {
		if id := header.Get(berylheader.Call); id != "" && id != c.ID {
			return eris.New("the backend server answered another call")
		}
		return x.Sink(header, message)
	}
	return &y
}

// examine turns the backend server's own word that it shed the call into a
// refusal and drops an answer to another call.
func (b *Backend) examine(c *berylcall.Call, out *beryloutcome.Outcome) {
	id := out.Header.Get(berylheader.Call)
	if id != "" && id != c.ID {
		text := "the backend server answered another call"
		out.Refusal = berylrefusal.NewMaybeRun(berylrefusal.Answer, connect.CodeUnavailable, text)
		out.Err, out.Body = nil, nil
		return
	}
	if out.Err != nil && out.Header.Get(berylheader.Run) == berylrefusal.NotRun {
		out.Refusal = berylrefusal.NewNotRun(berylrefusal.Backend, out.Err.Code(), "the backend server turned the call away")
		out.Refusal.RetryAfter = 100 * time.Millisecond
		out.Err = nil
	}
}
