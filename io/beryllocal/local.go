// Package beryllocal takes the own backend server's calls to other services.
package beryllocal

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

// Local is safe for concurrent use.
type Local struct {
	state  func() *berylsnapshot.Snapshot
	policy berylpolicy.Policy
	tokens *berylcalltokens.Registry
	send   func(context.Context, *berylsnapshot.Snapshot, *berylcall.Call, *berylexchange.Exchange) *beryloutcome.Outcome
	once   func(context.Context, *berylcall.Call, func() *beryloutcome.Outcome) *beryloutcome.Outcome
}

// maxHops bounds chains of services that call each other in a circle.
const maxHops = 32

// New returns a local that sends calls by send and keeps them by once from
// running twice under one idempotency key.
func New(state func() *berylsnapshot.Snapshot, policy berylpolicy.Policy, tokens *berylcalltokens.Registry, send func(context.Context, *berylsnapshot.Snapshot, *berylcall.Call, *berylexchange.Exchange) *beryloutcome.Outcome, once func(context.Context, *berylcall.Call, func() *beryloutcome.Outcome) *beryloutcome.Outcome) *Local {
	return &Local{state: state, policy: policy, tokens: tokens, send: send, once: once}
}

// Handler serves the backend server.
func (l *Local) Handler() http.Handler {
	route := func(p string) *berylroute.Route { return l.state().Route(p) }
	return berylendpoint.New(route, l.serve)
}

func (l *Local) serve(ctx context.Context, h http.Header, x *berylexchange.Exchange) *beryloutcome.Outcome {
	s := l.state()
	r := s.Route(x.Path)
	if r == nil {
		return beryloutcome.Refuse(berylrefusal.NewNotRun(berylrefusal.Route, connect.CodeUnimplemented, "there is no route "+x.Path), 0)
	}
	x.Header = berylheader.Clean(h, berylheader.CallerKey(h))
	token := h.Get(berylheader.Token)
	parent, c, ok := l.tokens.BeginNested(token)
	if !ok {
		return l.alone(ctx, s, r, x)
	}
	left := c.RetriesLeft
	out := l.nested(ctx, parent, s, c, r, h, x)
	l.tokens.EndNested(token, min(out.RetriesLeft, left), level(out))
	return out
}

// level is the admission level to pass upwards, open when none is known.
func level(out *beryloutcome.Outcome) float64 {
	if out.PathThreshold <= 0 {
		return beryllevel.AdmitAll
	}
	return out.PathThreshold
}

// alone serves a call that belongs to no other: only routes open to all.
func (l *Local) alone(ctx context.Context, s *berylsnapshot.Snapshot, r *berylroute.Route, x *berylexchange.Exchange) *beryloutcome.Outcome {
	if !r.AuthExempt {
		return beryloutcome.Refuse(berylrefusal.NewNotRun(berylrefusal.Key, connect.CodeUnauthenticated, "the call names no live call that it belongs to"), 0)
	}
	c := &berylcall.Call{ID: strconv.FormatUint(rand.Uint64(), 36), Route: r, Class: r.Class, Rank: rand.Float64(), RetriesLeft: l.policy.MaxRetries}
	return l.bounded(ctx, s, c, x)
}

func (l *Local) nested(ctx, parent context.Context, s *berylsnapshot.Snapshot, c berylcall.Call, r *berylroute.Route, h http.Header, x *berylexchange.Exchange) *beryloutcome.Outcome {
	if c.Hops >= maxHops {
		return beryloutcome.Refuse(berylrefusal.NewNotRun(berylrefusal.Route, connect.CodeFailedPrecondition, "the chain of calls is too deep"), c.RetriesLeft)
	}
	if l.policy.RetriesPerHop {
		c.RetriesLeft = l.policy.MaxRetries
	}
	c.Route = r
	// The root call has begun; only that needed permission.
	c.StartBy = time.Time{}
	c.Hops++
	c.IdempotencyKey = h.Get(berylheader.Idempotency)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(parent, cancel)
	defer stop()
	if !c.Deadline.IsZero() {
		var end context.CancelFunc
		ctx, end = context.WithDeadline(ctx, c.Deadline)
		defer end()
	}
	return l.bounded(ctx, s, &c, x)
}

// bounded runs the call within the route's timeout.
func (l *Local) bounded(ctx context.Context, s *berylsnapshot.Snapshot, c *berylcall.Call, x *berylexchange.Exchange) *beryloutcome.Outcome {
	if !c.Route.Streaming {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.Route.Timeout)
		defer cancel()
	}
	c.Deadline, _ = ctx.Deadline()
	return l.once(ctx, c, func() *beryloutcome.Outcome { return l.send(ctx, s, c, x) })
}
