// Package beryldispatch sends a call to an instance of its service and retries
// it within the call's allowance.
package beryldispatch

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"berylspan/core/berylbalancer"
	"berylspan/core/berylbudget"
	"berylspan/core/berylcall"
	"berylspan/core/berylexchange"
	"berylspan/core/berylinstance"
	"berylspan/core/berylinvariant"
	"berylspan/core/beryloutcome"
	"berylspan/core/berylpolicy"
	"berylspan/core/berylrefusal"
	"berylspan/core/berylsnapshot"
	"berylspan/io/berylloads"
	"berylspan/io/beryltransport"

	"connectrpc.com/connect"
)

// Dispatch is safe for concurrent use. Local runs a call on the own backend
// server and Remote on another instance.
type Dispatch struct {
	self   berylinstance.Instance
	policy berylpolicy.Policy
	local  func(context.Context, *berylcall.Call, *berylexchange.Exchange) *beryloutcome.Outcome
	remote func(context.Context, berylinstance.Instance, *berylcall.Call, *berylexchange.Exchange) *beryloutcome.Outcome
	loads  *berylloads.Loads
	guard  *berylinvariant.Guard
	count  func(service string)
	began  time.Time

	mu     sync.Mutex
	budget *berylbudget.Budget
}

const maxReroutes = 3

// Local sets how a call runs on the own backend server.
func Local(f func(context.Context, *berylcall.Call, *berylexchange.Exchange) *beryloutcome.Outcome) func(*Dispatch) {
	return func(d *Dispatch) { d.local = f }
}

// Remote sets how a call runs on another instance.
func Remote(f func(context.Context, berylinstance.Instance, *berylcall.Call, *berylexchange.Exchange) *beryloutcome.Outcome) func(*Dispatch) {
	return func(d *Dispatch) { d.remote = f }
}

// Count sets the function told of every attempt.
func Count(f func(service string)) func(*Dispatch) {
	return func(d *Dispatch) { d.count = f }
}

// New returns a dispatch for the daemon that is self.
func New(self berylinstance.Instance, policy berylpolicy.Policy, loads *berylloads.Loads, guard *berylinvariant.Guard, opts ...func(*Dispatch)) *Dispatch {
	d := &Dispatch{
		self:   self,
		policy: policy,
		loads:  loads,
		guard:  guard,
		count:  func(string) {},
		budget: berylbudget.New(),
		began:  time.Now(),
	}
	for _, o := range opts {
		o(d)
	}
	return d
}

// Send runs the call at the best instance and, when that fails in a way that
// allows it, at another.
func (d *Dispatch) Send(ctx context.Context, s *berylsnapshot.Snapshot, c *berylcall.Call, x *berylexchange.Exchange) *beryloutcome.Outcome {
	out, ran := d.repeat(ctx, s, c, x)
	if r := out.Refusal; r != nil && ran && !r.MayHaveRun {
		// The last attempt did not run, but one before it may have.
		maybe := *r
		maybe.MayHaveRun = true
		out.Refusal = &maybe
	}
	return out
}

// repeat returns the end of the last attempt and whether any may have run.
func (d *Dispatch) repeat(ctx context.Context, s *berylsnapshot.Snapshot, c *berylcall.Call, x *berylexchange.Exchange) (*beryloutcome.Outcome, bool) {
	tried := map[string]bool{}
	allowed := c.RetriesLeft
	reroutes := 0
	ran := false
	var last *beryloutcome.Outcome
	for {
		to, ok := d.pick(s, c, tried)
		if !ok {
			return d.none(last, c), ran
		}
		tried[to.ID] = true
		out := d.attempt(ctx, to, c, x)
		d.guard.Check(out.RetriesLeft <= allowed, berylinvariant.Retries, "call %s has %d of %d retries left", c.ID, out.RetriesLeft, allowed)
		c.RetriesLeft = out.RetriesLeft
		if out.Refusal == nil {
			d.success()
			return out, ran
		}
		ran = ran || out.Refusal.MayHaveRun
		if !mayRepeat(ctx, c, out) {
			return out, ran
		}
		if moved(out.Refusal) && reroutes < maxReroutes {
			reroutes++
			last = out
			continue
		}
		if !d.take(c) {
			return out, ran
		}
		if out.MaybeUnreachable {
			ctx = beryltransport.Fresh(ctx)
		}
		last = out
		if d.policy.RetriesPerHop {
			delete(tried, to.ID)
		}
	}
}

// none refuses a call that no instance is left for.
func (d *Dispatch) none(last *beryloutcome.Outcome, c *berylcall.Call) *beryloutcome.Outcome {
	if last != nil {
		last.RetriesLeft = c.RetriesLeft
		return last
	}
	text := "no instance of service " + c.Route.Service + " is known"
	return beryloutcome.Refuse(berylrefusal.NewNotRun(berylrefusal.Backend, connect.CodeUnavailable, text), c.RetriesLeft)
}

// mayRepeat tells whether running the call again keeps every promise.
func mayRepeat(ctx context.Context, c *berylcall.Call, out *beryloutcome.Outcome) bool {
	if ctx.Err() != nil || out.StreamStarted {
		return false
	}
	if out.Refusal.MayHaveRun && !c.Route.Idempotent {
		return false
	}
	switch out.Refusal.Reason {
	case berylrefusal.Deadline:
		return out.MaybeUnreachable && ctx.Err() == nil
	case berylrefusal.Canceled, berylrefusal.Rate, berylrefusal.Route, berylrefusal.Form:
		return false
	}
	return true
}

// moved tells whether the refusal only says that the instance is not the right
// one any more; finding the right one is not a retry.
func moved(r *berylrefusal.Refusal) bool {
	return !r.MayHaveRun && (r.Reason == berylrefusal.Leaving || r.Reason == berylrefusal.Starting)
}

func (d *Dispatch) success() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.budget.RecordSuccess(time.Now())
}

// take uses one retry of the call's allowance and of the daemon's budget.
func (d *Dispatch) take(c *berylcall.Call) bool {
	if c.RetriesLeft <= 0 {
		return false
	}
	if !d.policy.RetriesPerHop {
		d.mu.Lock()
		ok := d.budget.Take()
		d.mu.Unlock()
		if !ok {
			return false
		}
	}
	c.RetriesLeft--
	return true
}

func (d *Dispatch) pick(s *berylsnapshot.Snapshot, c *berylcall.Call, tried map[string]bool) (berylinstance.Instance, bool) {
	now := time.Now()
	list := s.InstancesByService[c.Route.Service]
	cs := make([]berylbalancer.Candidate, len(list))
	for i, in := range list {
		ld := d.loads.Get(now, in.ID)
		cs[i] = berylbalancer.Candidate{ID: in.ID, OtherZone: in.Zone != d.self.Zone, Cold: ld.FirstSeen.Sub(d.began) > berylbalancer.SlowStart, Load: ld}
	}
	i := berylbalancer.Choose(now, cs, c.Order(), tried, rand.IntN)
	if i < 0 {
		return berylinstance.Instance{}, false
	}
	return list[i], true
}

// attempt runs the call once. Half of the retries stay here, so that this hop
// can act when the answer, and the allowance with it, is lost.
func (d *Dispatch) attempt(ctx context.Context, to berylinstance.Instance, c *berylcall.Call, x *berylexchange.Exchange) *beryloutcome.Outcome {
	now := time.Now()
	d.count(c.Route.Service)
	d.loads.Begin(now, to.ID)
	keep := 0
	if !d.policy.RetriesPerHop {
		keep = c.RetriesLeft / 2
	}
	down := *c
	down.RetriesLeft -= keep
	out := d.run(ctx, to, &down, x)
	out.RetriesLeft += keep
	if d.policy.RetriesPerHop {
		out.RetriesLeft = c.RetriesLeft
	}
	took := time.Duration(0)
	if out.Refusal == nil {
		took = time.Since(now)
	}
	d.loads.End(time.Now(), to.ID, took, out.Threshold, c.Class, out.ExpectedWait)
	if out.Refusal != nil && failing(out) {
		d.loads.Avoid(time.Now(), to.ID)
	}
	return out
}

func (d *Dispatch) run(ctx context.Context, to berylinstance.Instance, c *berylcall.Call, x *berylexchange.Exchange) *beryloutcome.Outcome {
	if to.ID == d.self.ID {
		return d.local(ctx, c, x)
	}
	return d.remote(ctx, to, c, x)
}

// failing tells whether the refusal speaks against the instance itself.
func failing(out *beryloutcome.Outcome) bool {
	switch out.Refusal.Reason {
	case berylrefusal.Backend, berylrefusal.Leaving, berylrefusal.Starting, berylrefusal.Stalled:
		return true
	}
	return out.MaybeUnreachable && out.Refusal.Reason != berylrefusal.Deadline
}
