// Package berylbackend runs calls on the backend server of this instance.
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
	"berylspan/io/berylcalltokens"
	"berylspan/io/berylheader"
	"berylspan/io/berylrelay"
	"berylspan/io/berylslots"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"
)

// Backend forwards calls to a backend server, as many at once as berylslots.Slots allows.
// It is safe for concurrent use.
type Backend struct {
	addr         string
	relay        *berylrelay.Relay
	slots        *berylslots.Slots
	tokens       *berylcalltokens.Registry
	guard        *berylinvariant.Guard
	leavingSince atomic.Int64 // time of Leave in nanoseconds since 1970, 0 before
}

// leaveGrace is how long after Leave a call may still arrive without a violation of
// berylinvariant.Leaving.
const leaveGrace = 3 * time.Second

// New returns a backend that forwards calls to the backend server at addr.
func New(addr string, relay *berylrelay.Relay, slots *berylslots.Slots, tokens *berylcalltokens.Registry, guard *berylinvariant.Guard) *Backend {
	return &Backend{addr: addr, relay: relay, slots: slots, tokens: tokens, guard: guard}
}

// Leave makes Run refuse all later calls except nested ones, and RunForwarded all later calls.
func (b *Backend) Leave() { b.leavingSince.Store(time.Now().UnixNano()) }

// Run waits for a slot and forwards the call to the backend server. A call that cannot
// start in time is refused as not run.
func (b *Backend) Run(ctx context.Context, c *berylcall.Call, x *berylexchange.Exchange) *beryloutcome.Outcome {
	arrived := time.Now()
	if b.leavingSince.Load() != 0 && c.Hops == 0 {
		return refuseLeaving(c)
	}
	release, refusal := b.slots.Acquire(ctx, c.Order(), x.Sink != nil)
	if refusal != nil {
		out := beryloutcome.Refuse(refusal, c.RetriesLeft)
		out.PathThreshold = beryllevel.AdmitAll
		b.reportLoad(c, out)
		return out
	}
	if refusal := checkMayStart(ctx, c); refusal != nil {
		release(0, 0, false)
		return beryloutcome.Refuse(refusal, c.RetriesLeft)
	}
	leavingSince := b.leavingSince.Load()
	b.guard.Check(leavingSince == 0 || c.Hops > 0 || arrived.UnixNano() <= leavingSince+leaveGrace.Nanoseconds(), berylinvariant.Leaving, "call %s arrived at an instance that is leaving", c.ID)
	out := b.forward(ctx, c, x, release)
	b.reportLoad(c, out)
	return out
}

// RunForwarded is Run for a call that another daemon forwarded, which can choose another
// instance for it.
func (b *Backend) RunForwarded(ctx context.Context, c *berylcall.Call, x *berylexchange.Exchange) *beryloutcome.Outcome {
	if b.leavingSince.Load() != 0 {
		return refuseLeaving(c)
	}
	return b.Run(ctx, c, x)
}

func refuseLeaving(c *berylcall.Call) *beryloutcome.Outcome {
	refusal := berylrefusal.NewNotRun(berylrefusal.Leaving, connect.CodeUnavailable, "the instance is leaving")
	return beryloutcome.Refuse(refusal, c.RetriesLeft)
}

// reportLoad sets the fields of the outcome that tell callers the load of this instance.
func (b *Backend) reportLoad(c *berylcall.Call, out *beryloutcome.Outcome) {
	out.Threshold = b.slots.Threshold()
	out.PathThreshold = min(out.PathThreshold, out.Threshold)
	out.ExpectedWait = b.slots.ExpectedWait(c.Order())
}

// checkMayStart returns a refusal if the call may not start any more, because it was
// canceled or its deadline or StartBy passed while it waited or while the process was
// paused.
func checkMayStart(ctx context.Context, c *berylcall.Call) *berylrefusal.Refusal {
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

// forward sends the call to the backend server, checks the answer and releases the slot.
func (b *Backend) forward(ctx context.Context, c *berylcall.Call, x *berylexchange.Exchange, release func(slotTime, nestedTime time.Duration, rejected bool)) *beryloutcome.Outcome {
	token := b.tokens.Issue(ctx, c)
	header := make(http.Header, 3)
	header.Set(berylheader.Token, token)
	header.Set(berylheader.Call, c.ID)
	if c.IdempotencyKey != "" {
		// net/http may retry a request on its own if it has a header with the canonical
		// name Idempotency-Key, so the name is sent in lower case.
		header["idempotency-key"] = []string{c.IdempotencyKey}
	}
	b.guard.Check(x.Header.Get("Authorization") == "" && x.Header.Get(berylheader.Key) == "", berylinvariant.Key, "call %s passes a workspace key to the backend server", c.ID)
	if x.Sink != nil {
		x = checkStream(c, x)
	}
	startedAt := time.Now()
	out := b.relay.Do(ctx, b.addr, x, header, c.Route.Timeout)
	var nestedTime time.Duration
	out.RetriesLeft, out.PathThreshold, nestedTime = b.tokens.Revoke(token)
	b.guard.Check(out.RetriesLeft <= c.RetriesLeft, berylinvariant.Retries, "call %s returned %d retries, its allowance was %d", c.ID, out.RetriesLeft, c.RetriesLeft)
	b.checkAnswer(c, out)
	rejected := out.Refusal != nil && !out.Refusal.MayHaveRun
	release(time.Since(startedAt), nestedTime, rejected)
	return out
}

// checkStream returns a copy of x that aborts the stream when its header names another
// call.
func checkStream(c *berylcall.Call, x *berylexchange.Exchange) *berylexchange.Exchange {
	checked := *x
	checked.Sink = func(header http.Header, message []byte) error {
		if id := header.Get(berylheader.Call); id != "" && id != c.ID {
			return eris.New("the backend server answered another call")
		}
		return x.Sink(header, message)
	}
	return &checked
}

// checkAnswer replaces an answer that names another call, and an error that the backend
// server marked as not run, by a refusal.
func (b *Backend) checkAnswer(c *berylcall.Call, out *beryloutcome.Outcome) {
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
