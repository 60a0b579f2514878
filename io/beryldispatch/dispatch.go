// Package beryldispatch sends a call to an instance of its service and retries it within
// the call's retry allowance.
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

// Dispatcher sends calls to instances, of which its own is one. Retries are limited by
// the allowance of each call and by a budget for the whole daemon; with the policy PerHop
// there is no budget and each hop has an allowance of its own. Dispatcher is safe for
// concurrent use.
type Dispatcher struct {
	self      berylinstance.Instance
	policy    berylpolicy.Policy
	local     func(context.Context, *berylcall.Call, *berylexchange.Exchange) *beryloutcome.Outcome
	remote    func(context.Context, berylinstance.Instance, *berylcall.Call, *berylexchange.Exchange) *beryloutcome.Outcome
	loads     *berylloads.Tracker
	guard     *berylinvariant.Guard
	onAttempt func(service string)
	startedAt time.Time

	mu     sync.Mutex
	budget *berylbudget.Budget
}

const maxReroutes = 3 // per call, see isReroute

// Local sets the function that runs a call on the backend server of this instance.
func Local(f func(context.Context, *berylcall.Call, *berylexchange.Exchange) *beryloutcome.Outcome) func(*Dispatcher) {
	return func(d *Dispatcher) { d.local = f }
}

// Remote sets the function that runs a call on another instance.
func Remote(f func(context.Context, berylinstance.Instance, *berylcall.Call, *berylexchange.Exchange) *beryloutcome.Outcome) func(*Dispatcher) {
	return func(d *Dispatcher) { d.remote = f }
}

// OnAttempt sets the function that is called before each attempt, with the service that
// is called.
func OnAttempt(f func(service string)) func(*Dispatcher) {
	return func(d *Dispatcher) { d.onAttempt = f }
}

// New returns a dispatcher for the instance self.
func New(self berylinstance.Instance, policy berylpolicy.Policy, loads *berylloads.Tracker, guard *berylinvariant.Guard, opts ...func(*Dispatcher)) *Dispatcher {
	d := &Dispatcher{
		self:      self,
		policy:    policy,
		loads:     loads,
		guard:     guard,
		onAttempt: func(string) {},
		budget:    berylbudget.New(),
		startedAt: time.Now(),
	}
	for _, o := range opts {
		o(d)
	}
	return d
}

// Send runs the call on an instance of its service. If that fails and the call may be
// retried, Send tries another instance.
func (d *Dispatcher) Send(ctx context.Context, s *berylsnapshot.Snapshot, c *berylcall.Call, x *berylexchange.Exchange) *beryloutcome.Outcome {
	out, mayHaveRun := d.sendWithRetries(ctx, s, c, x)
	if r := out.Refusal; r != nil && mayHaveRun && !r.MayHaveRun {
		// The last attempt did not run, but an earlier one may have.
		refusal := *r
		refusal.MayHaveRun = true
		out.Refusal = &refusal
	}
	return out
}

// sendWithRetries returns the outcome of the last attempt and whether any of the failed
// attempts may have run.
func (d *Dispatcher) sendWithRetries(ctx context.Context, s *berylsnapshot.Snapshot, c *berylcall.Call, x *berylexchange.Exchange) (*beryloutcome.Outcome, bool) {
	tried := map[string]bool{}
	allowance := c.RetriesLeft
	reroutes := 0
	mayHaveRun := false
	var last *beryloutcome.Outcome
	for {
		target, ok := d.chooseInstance(s, c, tried)
		if !ok {
			return d.noInstance(last, c), mayHaveRun
		}
		tried[target.ID] = true
		out := d.attempt(ctx, target, c, x)
		d.guard.Check(out.RetriesLeft <= allowance, berylinvariant.Retries, "call %s returned %d retries, its allowance was %d", c.ID, out.RetriesLeft, allowance)
		c.RetriesLeft = out.RetriesLeft
		if out.Refusal == nil {
			d.recordSuccess()
			return out, mayHaveRun
		}
		mayHaveRun = mayHaveRun || out.Refusal.MayHaveRun
		if !isRetryable(ctx, c, out) {
			return out, mayHaveRun
		}
		if isReroute(out.Refusal) && reroutes < maxReroutes {
			reroutes++
			last = out
			continue
		}
		if !d.takeRetry(c) {
			return out, mayHaveRun
		}
		if out.MaybeUnreachable {
			ctx = beryltransport.WithFailover(ctx)
		}
		last = out
		if d.policy.RetriesPerHop {
			delete(tried, target.ID)
		}
	}
}

// noInstance returns the outcome of a call for which no untried instance is left: that
// of the last attempt, or a refusal if there was none.
func (d *Dispatcher) noInstance(last *beryloutcome.Outcome, c *berylcall.Call) *beryloutcome.Outcome {
	if last != nil {
		last.RetriesLeft = c.RetriesLeft
		return last
	}
	text := "no instance of service " + c.Route.Service + " is known"
	return beryloutcome.Refuse(berylrefusal.NewNotRun(berylrefusal.Backend, connect.CodeUnavailable, text), c.RetriesLeft)
}

// isRetryable reports whether the call may be run again: nothing of its answer was passed
// on, it certainly did not run or is idempotent, and a retry would not be refused for the
// same reason.
func isRetryable(ctx context.Context, c *berylcall.Call, out *beryloutcome.Outcome) bool {
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

// isReroute reports whether the instance refused the call only because it is leaving or
// starting. Sending the call to another one then does not count as a retry.
func isReroute(r *berylrefusal.Refusal) bool {
	return !r.MayHaveRun && (r.Reason == berylrefusal.Leaving || r.Reason == berylrefusal.Starting)
}

func (d *Dispatcher) recordSuccess() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.budget.RecordSuccess(time.Now())
}

// takeRetry takes one retry from the call's allowance and, without PerHop, from the
// daemon's budget, and reports whether there was one.
func (d *Dispatcher) takeRetry(c *berylcall.Call) bool {
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

func (d *Dispatcher) chooseInstance(s *berylsnapshot.Snapshot, c *berylcall.Call, tried map[string]bool) (berylinstance.Instance, bool) {
	now := time.Now()
	instances := s.InstancesByService[c.Route.Service]
	candidates := make([]berylbalancer.Candidate, len(instances))
	for i, inst := range instances {
		load := d.loads.Get(now, inst.ID)
		candidates[i] = berylbalancer.Candidate{ID: inst.ID, OtherZone: inst.Zone != d.self.Zone, Cold: load.FirstSeen.Sub(d.startedAt) > berylbalancer.SlowStart, Load: load}
	}
	i := berylbalancer.Choose(now, candidates, c.Order(), tried, rand.IntN)
	if i >= 0 {
		return instances[i], true
	}
	// No other instance takes it, and without it the calls that are to be finished would fail.
	if s.Leaving && c.Hops > 0 && c.Route.Service == d.self.Service && !tried[d.self.ID] {
		return d.self, true
	}
	return berylinstance.Instance{}, false
}

// attempt runs the call once. Half of the retry allowance is not passed on but reserved
// for this hop, so that it can still retry when the answer is lost and with it the rest
// of the allowance.
func (d *Dispatcher) attempt(ctx context.Context, target berylinstance.Instance, c *berylcall.Call, x *berylexchange.Exchange) *beryloutcome.Outcome {
	startedAt := time.Now()
	d.onAttempt(c.Route.Service)
	d.loads.Begin(startedAt, target.ID)
	reserved := 0
	if !d.policy.RetriesPerHop {
		reserved = c.RetriesLeft / 2
	}
	forwarded := *c
	forwarded.RetriesLeft -= reserved
	out := d.run(ctx, target, &forwarded, x)
	out.RetriesLeft += reserved
	if d.policy.RetriesPerHop {
		out.RetriesLeft = c.RetriesLeft
	}
	took := time.Duration(0)
	if out.Refusal == nil {
		took = time.Since(startedAt)
	}
	d.loads.End(time.Now(), target.ID, took, out.Threshold, c.Class, out.ExpectedWait)
	if out.Refusal != nil && isInstanceFailure(out) {
		d.loads.Avoid(time.Now(), target.ID)
	}
	return out
}

func (d *Dispatcher) run(ctx context.Context, target berylinstance.Instance, c *berylcall.Call, x *berylexchange.Exchange) *beryloutcome.Outcome {
	if target.ID == d.self.ID {
		return d.local(ctx, c, x)
	}
	return d.remote(ctx, target, c, x)
}

// isInstanceFailure reports whether the refusal is due to the instance, which is then
// avoided for a while.
func isInstanceFailure(out *beryloutcome.Outcome) bool {
	switch out.Refusal.Reason {
	case berylrefusal.Backend, berylrefusal.Leaving, berylrefusal.Starting, berylrefusal.Stalled:
		return true
	}
	return out.MaybeUnreachable && out.Refusal.Reason != berylrefusal.Deadline
}
