package berylenter

import (
	"context"
	"net"
	"net/http"
	"time"

	"berylspan/core/berylattempt"
	"berylspan/core/berylbackoff"
	"berylspan/core/beryllisted"
	"berylspan/core/berylplacement"
	"berylspan/core/berylretries"
	"berylspan/io/berylface"
	"berylspan/io/berylreply"
)

const (
	mostTries  = 5                      // instances that one request is offered to
	lostWait   = 100 * time.Millisecond // added to the wait of a call that was turned away
	timeMargin = 20 * time.Millisecond  // left over for another attempt at least
)

// tries is what the attempts of one request came to.
type tries struct {
	tried    map[string]bool
	arrived  int
	maybeRan bool
	answered *berylreply.Reply // a failure that another attempt may better
	after    time.Duration
	full     bool
}

// run sends a request until it has an answer or must end without one.
func (e *Enter) run(parent context.Context, q *request) *berylface.Answer {
	if q.Gone() {
		// It may have waited unread for long on a busy instance.
		q.reason = berylreply.Canceled
		return &berylface.Answer{Abort: true}
	}
	ctx, cancel := context.WithDeadline(parent, q.work.Until)
	t := &tries{tried: map[string]bool{}}
	e.mu.Lock()
	e.allowance(q.work.Service).RecordRequest()
	e.mu.Unlock()
	for q.tries < mostTries && ctx.Err() == nil {
		to, ok := e.choose(q, t)
		if !ok {
			break
		}
		q.tries++
		q.server = to.ID
		t.tried[to.ID] = true
		q.work.Instance, q.work.Born = to.ID, to.Born
		out := e.attempt(ctx, q, to)
		q.reason = out.Reason
		q.waited += out.Waited
		if out.End == berylattempt.Answered && !e.better(ctx, q, t, out) {
			return e.answer(out, cancel)
		}
		if !e.goOn(ctx, q, t, out) {
			break
		}
	}
	defer cancel()
	return e.giveUp(parent, ctx, q, t)
}

// better tells whether another attempt may replace an answer.
func (e *Enter) better(ctx context.Context, q *request, t *tries, out *berylreply.Reply) bool {
	if !out.End.MayRetry(q.rule.Repeatable, out.Status) || out.Stream != nil || !e.again(ctx, q, t) {
		return false
	}
	t.answered = out
	return true
}

// goOn notes an end without a final answer and tells whether to try again.
func (e *Enter) goOn(ctx context.Context, q *request, t *tries, out *berylreply.Reply) bool {
	switch out.End {
	case berylattempt.Answered:
		return true // Already accounted for.
	case berylattempt.Unsent:
		if q.work.Stream != nil && out.Reason != berylreply.Dial {
			return false // Part of the body is gone.
		}
		if out.Reason == berylreply.Full || out.Reason == berylreply.Expired || out.Reason == berylreply.Bound {
			t.full = true
			if t.after == 0 || out.After < t.after {
				t.after = out.After
			}
		}
		return out.Reason != berylreply.Expired
	case berylattempt.Unknown:
		t.maybeRan = true
	}
	if !out.End.MayRetry(q.rule.Repeatable, 0) || q.work.Stream != nil {
		return false
	}
	return e.again(ctx, q, t)
}

// again counts an arrival and tells whether the request may arrive once more.
func (e *Enter) again(ctx context.Context, q *request, t *tries) bool {
	t.arrived++
	if ctx.Err() != nil || t.arrived >= max(q.rule.Attempts, 1) || time.Until(q.work.Until) < timeMargin {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.allowance(q.work.Service).Take()
}

func (e *Enter) allowance(service string) *berylretries.Budget {
	s := e.sends[service]
	if s == nil {
		s = berylretries.New()
		e.sends[service] = s
	}
	return s
}

// choose returns the best instance that was not tried.
func (e *Enter) choose(q *request, t *tries) (beryllisted.Listed, bool) {
	list := e.State().ServersByService[q.work.Service]
	now := time.Now()
	cs := make([]berylplacement.Candidate, len(list))
	e.mu.Lock()
	defer e.mu.Unlock()
	bound := false
	for i, l := range list {
		c := e.standing.Candidate(now, l.ID, q.rule.Name, l.Slots)
		c.OtherZone = l.Zone != e.Zone
		c.Cold = l.Warm > 0
		c.Excluded = t.tried[l.ID] || l.Leaving
		bound = bound || (c.Throttled && !q.work.Call)
		host := l.Host()
		if p, ok := e.peers[host]; ok && host != e.Host {
			c.Excluded = c.Excluded || p.Heartbeat.Leaving
			c.Suspect = c.Suspect || e.silent(now, p)
		}
		cs[i] = c
	}
	if bound {
		t.full = true
		berylplacement.ExcludeThrottled(cs)
	}
	i, _ := berylplacement.Choose(cs, berylplacement.Costs{CrossZone: berylplacement.CrossZoneCost}, random)
	if i < 0 {
		return beryllisted.Listed{}, false
	}
	return list[i], true
}

// attempt sends the work to one instance.
func (e *Enter) attempt(ctx context.Context, q *request, to beryllisted.Listed) *berylreply.Reply {
	host := to.Host()
	now := time.Now()
	e.mu.Lock()
	e.standing.Sent(now, to.ID)
	e.mu.Unlock()
	var out *berylreply.Reply
	if host == e.Host {
		out = e.Local(ctx, q.work)
	} else {
		out = e.remote(ctx, q, host)
	}
	now = time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.standing.Ended(now, to.ID)
	if out.Told {
		e.standing.LoadReported(now, to.ID, q.rule.Name, out.Busy, out.Limit, out.Hold.Seconds())
	}
	switch {
	case out.End == berylattempt.Answered:
		e.standing.Succeeded(now, to.ID)
	case out.Reason == berylreply.Bound:
		e.standing.Throttled(now, to.ID, q.rule.Name)
	case out.Reason == berylreply.Dial, out.Reason == berylreply.Leaving, out.Reason == berylreply.Other,
		out.Reason == berylreply.Silent, out.Reason == berylreply.Shed:
		e.standing.Failed(now, to.ID)
	}
	return out
}

// remote sends the work to another instance. When that falls silent, work that
// may be repeated is not left waiting for it.
func (e *Enter) remote(ctx context.Context, q *request, host string) *berylreply.Reply {
	addr := net.JoinHostPort(host, e.Port)
	if !q.rule.Repeatable {
		return e.Remote(ctx, addr, q.work)
	}
	sctx, cancel := context.WithCancel(ctx)
	f := &flight{host: host, cancel: cancel}
	e.mu.Lock()
	e.flights[f] = struct{}{}
	e.mu.Unlock()
	out := e.Remote(sctx, addr, q.work)
	e.mu.Lock()
	delete(e.flights, f)
	e.mu.Unlock()
	if sctx.Err() != nil && ctx.Err() == nil && out.End != berylattempt.Answered {
		out.Reason = berylreply.Silent
	}
	if out.Stream == nil {
		cancel()
		return out
	}
	out.Stream = &closer{ReadCloser: out.Stream, then: cancel}
	return out
}

// giveUp ends a request without an answer of a backend server, or with a
// failure that no other attempt could better.
func (e *Enter) giveUp(parent, ctx context.Context, q *request, t *tries) *berylface.Answer {
	switch {
	case parent.Err() != nil:
		q.reason = berylreply.Canceled
		return &berylface.Answer{Abort: true}
	case t.answered != nil:
		return e.answer(t.answered, func() {})
	case t.maybeRan && ctx.Err() != nil:
		return e.refuse(q, http.StatusGatewayTimeout, q.reason, 0)
	case t.maybeRan:
		return e.refuse(q, http.StatusBadGateway, q.reason, 0)
	case q.tries == 0 && !t.full:
		return e.refuse(q, http.StatusServiceUnavailable, noInstance, shedPause(q))
	case t.full:
		q.waited = time.Since(q.At) + lostWait
		after := t.after
		if after == 0 {
			after = shedPause(q)
		}
		if q.reason == "" {
			q.reason = berylreply.Bound
		}
		return e.refuse(q, http.StatusServiceUnavailable, q.reason, max(after, berylbackoff.MinDelay))
	}
	return e.refuse(q, http.StatusServiceUnavailable, q.reason, berylbackoff.MinDelay)
}
