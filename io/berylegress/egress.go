// Package berylegress accepts the calls that the local backend server makes to services.
package berylegress

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"berylspan/core/berylcall"
	"berylspan/core/berylexchange"
	"berylspan/core/beryllevel"
	"berylspan/core/beryloutcome"
	"berylspan/core/berylpolicy"
	"berylspan/core/berylrefusal"
	"berylspan/core/berylroute"
	"berylspan/core/berylsnapshot"
	"berylspan/io/berylcalltokens"
	"berylspan/io/berylendpoint"
	"berylspan/io/berylheader"

	"connectrpc.com/connect"
)

// Egress serves the calls of the local backend server. It is safe for concurrent use.
type Egress struct {
	snapshot func() *berylsnapshot.Snapshot
	policy   berylpolicy.Policy
	tokens   *berylcalltokens.Registry
	send     func(context.Context, *berylsnapshot.Snapshot, *berylcall.Call, *berylexchange.Exchange) *beryloutcome.Outcome
	runOnce  func(context.Context, *berylcall.Call, func() *beryloutcome.Outcome) *beryloutcome.Outcome
}

// maxHops bounds call chains in which services call each other in a cycle.
const maxHops = 32

// New returns an Egress that forwards calls with send. RunOnce sends a call unless its
// idempotency key was used before.
func New(snapshot func() *berylsnapshot.Snapshot, policy berylpolicy.Policy, tokens *berylcalltokens.Registry, send func(context.Context, *berylsnapshot.Snapshot, *berylcall.Call, *berylexchange.Exchange) *beryloutcome.Outcome, runOnce func(context.Context, *berylcall.Call, func() *beryloutcome.Outcome) *beryloutcome.Outcome) *Egress {
	return &Egress{snapshot: snapshot, policy: policy, tokens: tokens, send: send, runOnce: runOnce}
}

// Handler returns the HTTP handler for the local backend server.
func (e *Egress) Handler() http.Handler {
	route := func(path string) *berylroute.Route { return e.snapshot().Route(path) }
	return berylendpoint.New(route, e.serve)
}

func (e *Egress) serve(ctx context.Context, h http.Header, x *berylexchange.Exchange) *beryloutcome.Outcome {
	s := e.snapshot()
	r := s.Route(x.Path)
	if r == nil {
		return beryloutcome.Refuse(berylrefusal.NewNotRun(berylrefusal.Route, connect.CodeUnimplemented, "there is no route "+x.Path), 0)
	}
	x.Header = berylheader.Clean(h, berylheader.CallerKey(h))
	callToken := h.Get(berylheader.Token)
	parentCtx, c, ok := e.tokens.BeginNested(callToken)
	if !ok {
		return e.serveRoot(ctx, s, r, x)
	}
	allowance := c.RetriesLeft
	out := e.serveNested(ctx, parentCtx, s, c, r, h, x)
	e.tokens.EndNested(callToken, min(out.RetriesLeft, allowance), pathThreshold(out))
	return out
}

// pathThreshold returns the path threshold to report to the parent call, which is
// AdmitAll if none is known.
func pathThreshold(out *beryloutcome.Outcome) float64 {
	if out.PathThreshold <= 0 {
		return beryllevel.AdmitAll
	}
	return out.PathThreshold
}

// serveRoot serves a call without a parent call. Such calls are allowed only on routes
// exempt from authentication.
func (e *Egress) serveRoot(ctx context.Context, s *berylsnapshot.Snapshot, r *berylroute.Route, x *berylexchange.Exchange) *beryloutcome.Outcome {
	if !r.AuthExempt {
		return beryloutcome.Refuse(berylrefusal.NewNotRun(berylrefusal.Key, connect.CodeUnauthenticated, "the call names no live call that it belongs to"), 0)
	}
	c := &berylcall.Call{ID: strconv.FormatUint(rand.Uint64(), 36), Route: r, Class: r.Class, Rank: rand.Float64(), RetriesLeft: e.policy.MaxRetries}
	return e.sendWithTimeout(ctx, s, c, x)
}

func (e *Egress) serveNested(ctx, parentCtx context.Context, s *berylsnapshot.Snapshot, c berylcall.Call, r *berylroute.Route, h http.Header, x *berylexchange.Exchange) *beryloutcome.Outcome {
	if c.Hops >= maxHops {
		return beryloutcome.Refuse(berylrefusal.NewNotRun(berylrefusal.Route, connect.CodeFailedPrecondition, "the chain of calls is too deep"), c.RetriesLeft)
	}
	if e.policy.RetriesPerHop {
		c.RetriesLeft = e.policy.MaxRetries
	}
	c.Route = r
	// The inherited StartBy limits the start of the parent call, which has already begun.
	// Only root calls need a token of the rate limiter.
	c.StartBy = time.Time{}
	c.Hops++
	c.IdempotencyKey = h.Get(berylheader.Idempotency)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(parentCtx, cancel)
	defer stop()
	if !c.Deadline.IsZero() {
		var cancelDeadline context.CancelFunc
		ctx, cancelDeadline = context.WithDeadline(ctx, c.Deadline)
		defer cancelDeadline()
	}
	return e.sendWithTimeout(ctx, s, &c, x)
}

// sendWithTimeout sends the call. A unary call is limited by the timeout of its route.
func (e *Egress) sendWithTimeout(ctx context.Context, s *berylsnapshot.Snapshot, c *berylcall.Call, x *berylexchange.Exchange) *beryloutcome.Outcome {
	if !c.Route.Streaming {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.Route.Timeout)
		defer cancel()
	}
	c.Deadline, _ = ctx.Deadline()
	return e.runOnce(ctx, c, func() *beryloutcome.Outcome { return e.send(ctx, s, c, x) })
}
