package berylproxy

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"berylspan/core/berylattempt"
	"berylspan/core/berylbackoff"
	"berylspan/core/berylcoldstart"
	"berylspan/core/beryllifetime"
	"berylspan/core/berylplacement"
	"berylspan/core/berylregistration"
	"berylspan/core/berylretries"
	"berylspan/core/berylserverload"
	"berylspan/core/berylserverstatus"
	"berylspan/io/berylhttpserver"
	"berylspan/io/berylreply"
	"berylspan/io/beryltimelimit"
)

const (
	maxInstancesTried = 5                      // instances that one request is offered to
	refusedCallWait   = 100 * time.Millisecond // added to the queue time of a nested call that was refused because of overload
	minTimeForRetry   = 20 * time.Millisecond  // a retry needs at least this much time before the deadline
)

// attemptState is the combined outcome of the attempts of one request.
type attemptState struct {
	tried        map[string]bool // by ID of the backend server
	arrivals     int             // attempts that may have reached a backend server
	maybeRan     bool
	failedAnswer *berylreply.Reply // error answer, returned unless a retry has a better result
	retryAfter   time.Duration     // shortest time until an overloaded instance may have room
	withheld     bool              // it was offered to a cold server beyond the share of this instance
	overloaded   bool              // an attempt was refused, or an instance passed over, because of overload
	quarantined  bool              // servers ended while they ran the request, and no trial is possible now
	evacuated    []string          // data centres that an instance there says are evacuated
	shed         bool              // an instance refused it because a service that it would call sheds
	rejected     []string          // IDs of the backend servers that rejected it
	again        bool              // only servers that rejected it may be tried
}

// run sends a request to instances until one answers or no further attempt is allowed.
func (p *Proxy) run(parent context.Context, q *request) *berylhttpserver.Answer {
	if q.CallerGone() {
		// A busy instance may read the request long after the caller has left.
		q.reason = berylreply.ReasonCanceled
		return &berylhttpserver.Answer{Abort: true}
	}
	ctx, limit := beryltimelimit.New(parent, q.outgoing.Deadline)
	st := &attemptState{tried: map[string]bool{}}
	p.recordForBudget(q.outgoing.Service)
	for q.attempts < maxInstancesTried+len(st.rejected) && ctx.Err() == nil {
		if p.checkQuarantine(q, st); st.quarantined {
			break
		}
		to, ok := p.chooseInstance(q, st)
		if !ok || !q.startBody() {
			break
		}
		q.attempts++
		q.serverID = to.ID
		st.tried[to.ID] = true
		p.setServer(q, to)
		reply := p.attempt(ctx, q, to)
		st.recordEvacuated(to, reply)
		q.reason = reply.Reason
		q.queueTime += reply.QueueTime
		if reply.Outcome == berylattempt.Answered && !p.retryAnswered(ctx, q, st, reply) {
			if reply.Stream != nil {
				reply.Stream = limit.Stream(reply.Stream)
			}
			a := p.newAnswer(reply, func() {
				limit.Cancel()
				p.recordDuration(q, reply.Status)
			})
			a.OnFailure = func(err error) *berylhttpserver.Answer { return p.replaceFailed(ctx, q, err) }
			return a
		}
		if !p.shouldRetry(ctx, q, st, reply) {
			break
		}
	}
	defer limit.Cancel()
	return p.finishUnanswered(parent, ctx, q, st)
}

// replaceFailed returns the answer to a request whose own answer failed while it waited for
// its turn on the connection of its caller.
func (p *Proxy) replaceFailed(ctx context.Context, q *request, err error) *berylhttpserver.Answer {
	status := http.StatusBadGateway
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		status = http.StatusGatewayTimeout
	}
	p.Log.Warn().Err(err).Str("id", q.Header.Get(p.Names.RequestID)).Str("server", q.serverID).Int("status", status).Msg("answer replaced")
	return p.refuse(q, status, berylreply.ReasonConnectionBroken, 0)
}

// retryAnswered reports whether to retry a request that was answered with an error. The
// answer is then kept in case no retry succeeds.
func (p *Proxy) retryAnswered(ctx context.Context, q *request, st *attemptState, reply *berylreply.Reply) bool {
	if !reply.Outcome.MayRetry(q.rule.Idempotent, reply.Status) || reply.Stream != nil || !q.canRepeat() || p.failedBelow(q) || !p.takeRetry(ctx, q, st) {
		return false
	}
	st.failedAnswer = reply
	return true
}

// shouldRetry records an attempt without a final answer and reports whether to make
// another.
func (p *Proxy) shouldRetry(ctx context.Context, q *request, st *attemptState, reply *berylreply.Reply) bool {
	switch reply.Outcome {
	case berylattempt.Answered:
		return true // retryAnswered has recorded it.
	case berylattempt.Unsent:
		if reply.Reason == berylreply.ReasonQuarantined {
			st.quarantined, st.retryAfter = true, reply.RetryAfter
			return false
		}
		if isOverload(reply.Reason) {
			st.overloaded = true
			if st.retryAfter == 0 || reply.RetryAfter < st.retryAfter {
				st.retryAfter = reply.RetryAfter
			}
			if q.outgoing.Trial {
				return false // A trial may be running there.
			}
		}
		if reply.Reason == berylreply.ReasonShedding {
			st.shed = true
			return false // Other instances know the same.
		}
		return reply.Reason != berylreply.ReasonExpired && q.canRepeat()
	case berylattempt.Rejected:
		if reply.Reason == berylreply.ReasonRejected && p.sheds(q.outgoing.Service) {
			return q.canRepeat() && p.takeRejectedRetry(ctx, q, st)
		}
	case berylattempt.Unknown:
		st.maybeRan = true
	}
	if !reply.Outcome.MayRetry(q.rule.Idempotent, 0) || !q.canRepeat() {
		return false
	}
	return p.takeRetry(ctx, q, st)
}

// isOverload reports whether an instance refused a request for a reason that passes with time.
func isOverload(reason string) bool {
	switch reason {
	case berylreply.ReasonQueueFull, berylreply.ReasonExpired, berylreply.ReasonThrottled, berylreply.ReasonCold:
		return true
	}
	return false
}

// startBody sets the streamed body of the next attempt. It returns false if the whole body
// cannot be sent any more.
func (q *request) startBody() bool {
	if q.upload == nil {
		return true
	}
	stream, ok := q.upload.Attempt()
	if ok {
		q.outgoing.Stream = stream
	}
	return ok
}

// canRepeat reports whether the whole body can be sent once more.
func (q *request) canRepeat() bool { return q.upload == nil || q.upload.CanRepeat() }

// takeRetry counts an arrival at a backend server and reports whether the request may
// be sent once more. It then takes the retry from the budget of the service.
func (p *Proxy) takeRetry(ctx context.Context, q *request, st *attemptState) bool {
	st.arrivals++
	if ctx.Err() != nil || st.arrivals >= max(q.rule.MaxAttempts, 1) || time.Until(q.outgoing.Deadline) < minTimeForRetry {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.retryBudget(q.outgoing.Service).Take(time.Now())
}

func (p *Proxy) recordForBudget(service string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retryBudget(service).RecordRequest(time.Now())
}

func (p *Proxy) retryBudget(service string) *berylretries.Budget {
	budget := p.retryBudgets[service]
	if budget == nil {
		budget = berylretries.New()
		p.retryBudgets[service] = budget
	}
	return budget
}

// chooseFrom returns the best of the instances in list that has not been tried. The caller holds
// the lock.
func (p *Proxy) chooseFrom(q *request, st *attemptState, list []berylregistration.Registration) (berylregistration.Registration, bool) {
	now := time.Now()
	if q.outgoing.Trial {
		return p.chooseTrial(q, st, list)
	}
	coldStart := p.coldStart(q.outgoing.Service)
	candidates, throttled, withheld := p.placementCandidates(now, q, st, list, coldStart)
	if throttled {
		st.overloaded = true
		berylplacement.ExcludeThrottled(candidates)
	}
	i, _ := p.chooser.Choose(candidates, placementCosts(), random)
	if i < 0 {
		if i = st.offerWithheld(withheld); i < 0 {
			return berylregistration.Registration{}, false
		}
	}
	p.recordOffer(now, list[i], coldStart)
	return list[i], true
}

// placementCandidates returns the candidates for a request, valid until the next call, whether one
// of them refuses new requests of the rule, and the index of a cold server that is excluded only
// because the share of this instance is used up, -1 without one. The caller holds the lock.
func (p *Proxy) placementCandidates(now time.Time, q *request, st *attemptState, list []berylregistration.Registration, coldStart berylcoldstart.ColdStart) (candidates []berylplacement.Candidate, throttled bool, withheld int) {
	regions := p.Regions()
	withheld, withheldCount := -1, 0
	candidates = p.candidates[:0]
	for i, entry := range list {
		c := p.tracker.Candidate(now, entry.ID, q.rule.Name, entry.Slots)
		c.OtherZone = entry.Zone != p.Zone
		c.OtherRegion = regions.Other(entry.Zone)
		c.Cold = now.Before(entry.ColdUntil)
		c.Suspect = c.Suspect || p.failsBelow(now, entry.ID)
		c.Excluded = st.excludes(entry.ID) || entry.Leaving || p.tracker.Status(entry.ID, entry.Born).Leaving
		throttled = throttled || (c.Throttled && !q.outgoing.Nested)
		host := entry.Host()
		if peer, ok := p.peers[host]; ok && host != p.Host {
			c.Excluded = c.Excluded || peer.Heartbeat.Leaving
			c.Suspect = c.Suspect || p.isSilent(now, peer)
		}
		if !c.Excluded && !p.mayOffer(now, entry, coldStart) {
			c.Excluded = true
			if withheldCount++; random()*float64(withheldCount) < 1 {
				withheld = i // Each with the same probability.
			}
		}
		candidates = append(candidates, c)
	}
	p.candidates = candidates
	return candidates, throttled, withheld
}

func placementCosts() berylplacement.Costs {
	return berylplacement.Costs{CrossZone: berylplacement.CrossZoneCost, CrossRegion: berylplacement.CrossRegionCost}
}

// setServer sets the backend server that the next attempt is meant for.
func (p *Proxy) setServer(q *request, to berylregistration.Registration) {
	p.mu.Lock()
	status := p.tracker.Status(to.ID, to.Born)
	p.mu.Unlock()
	q.outgoing.ServerID, q.outgoing.ServerStartMs = to.ID, to.Born
	q.outgoing.ServerLimited, q.outgoing.ServerLimit = status.Limited, status.Limit
	q.outgoing.ColdPerSecond = p.coldStart(q.outgoing.Service).PerSecond
}

// attempt sends the request to one instance and records the outcome.
func (p *Proxy) attempt(ctx context.Context, q *request, to berylregistration.Registration) *berylreply.Reply {
	host := to.Host()
	q.sentAt = p.recordSent(to.ID)
	reply := berylreply.NewFailure(berylattempt.Unknown, berylreply.ReasonPanic) // unless the attempt returns
	defer func() { p.recordAttempt(q, to.ID, reply) }()
	if host == p.Host {
		reply = p.RunLocal(ctx, q.outgoing)
	} else {
		reply = p.sendToPeer(ctx, q, host)
	}
	return reply
}

func (p *Proxy) recordSent(id string) (now time.Time) {
	now = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tracker.Sent(now, id)
	return now
}

// recordAttempt records the outcome of an attempt at the backend server with the given ID.
func (p *Proxy) recordAttempt(q *request, id string, reply *berylreply.Reply) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tracker.Ended(now, id)
	if reply.HasLoad {
		p.tracker.LoadReported(now, id, q.rule.Name, reply.Busy, reply.Limit, reply.MeanServiceTime.Seconds(), p.slowdown(reply))
	}
	switch {
	case reply.Outcome == berylattempt.Answered:
		p.tracker.Succeeded(now, id, q.sentAt)
		p.recordFailure(now, id, reply.Status)
		p.recordStatus(now, q, reply)
	case reply.Reason == berylreply.ReasonServerLeaving:
		status := p.tracker.Status(id, q.outgoing.ServerStartMs)
		status.Leaving = true
		p.tracker.StatusReported(now, id, q.outgoing.ServerStartMs, status)
	case reply.Reason == berylreply.ReasonCold:
		p.coldShares.Refused(now, beryllifetime.Lifetime{ID: id, BornMs: q.outgoing.ServerStartMs}, reply.RetryAfter)
	case reply.Reason == berylreply.ReasonThrottled:
		p.tracker.Throttled(now, id, q.rule.Name)
	case reply.Reason == berylreply.ReasonNoConnection, reply.Reason == berylreply.ReasonRejected:
		p.tracker.Refused(now, id)
	case reply.Reason == berylreply.ReasonShuttingDown, reply.Reason == berylreply.ReasonWrongServer,
		reply.Reason == berylreply.ReasonPeerSilent, reply.Reason == berylreply.ReasonOverlong, reply.Reason == berylreply.ReasonNoID:
		p.tracker.Failed(now, id)
	}
}

// slowdown returns the slowdown that the header of an answer tells of, 0 if it tells of none.
func (p *Proxy) slowdown(reply *berylreply.Reply) float64 {
	load, _ := berylserverload.Parse(reply.Header.Get(p.Names.ServerLoad))
	return load.Slowdown
}

// recordStatus records what the header of an answer says about its server. The absence of a
// field counts only in signed answers, as in the instance beside the server. The caller holds
// the lock.
func (p *Proxy) recordStatus(now time.Time, q *request, reply *berylreply.Reply) {
	id, born := q.outgoing.ServerID, q.outgoing.ServerStartMs
	known := p.tracker.Status(id, born)
	// The instance beside the server logs a malformed limit.
	status, err := berylserverstatus.Parse(reply.Header.Get(p.Names.ServerLimit), reply.Header.Get(p.Names.ServerLeaving))
	signed := reply.Header.Get(p.Names.ResponseSignature) != ""
	p.tracker.StatusReported(now, id, born, known.Update(status, err == nil && signed))
}

// sendToPeer sends the request to another instance. An idempotent request is cancelled
// when that instance becomes silent.
func (p *Proxy) sendToPeer(ctx context.Context, q *request, host string) *berylreply.Reply {
	addr := net.JoinHostPort(host, p.Port)
	if !q.rule.Idempotent {
		return p.SendRemote(ctx, addr, q.outgoing)
	}
	sendCtx, cancel := context.WithCancel(ctx)
	send := &remoteSend{host: host, cancel: cancel}
	p.mu.Lock()
	p.remoteSends[send] = struct{}{}
	p.mu.Unlock()
	reply := p.SendRemote(sendCtx, addr, q.outgoing)
	p.mu.Lock()
	delete(p.remoteSends, send)
	p.mu.Unlock()
	if sendCtx.Err() != nil && ctx.Err() == nil && reply.Outcome != berylattempt.Answered {
		reply.Reason = berylreply.ReasonPeerSilent
	}
	if reply.Stream == nil {
		cancel()
		return reply
	}
	reply.Stream = &closeNotifier{ReadCloser: reply.Stream, onClose: cancel}
	return reply
}

// isStopping reports whether ctx was cancelled because the time of a stop is over. The caller
// then still waits for an answer.
func isStopping(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), berylhttpserver.ErrStopping)
}

// RefuseStopping returns the answer to a request that was not started before the time of a
// stop was over.
func (p *Proxy) RefuseStopping(r *berylhttpserver.Request) *berylhttpserver.Answer {
	return p.refuseUnstarted(r, berylreply.ReasonShuttingDown)
}

// RefuseOverloaded returns the answer to a request that was not started because too much memory
// is held for callers.
func (p *Proxy) RefuseOverloaded(r *berylhttpserver.Request) *berylhttpserver.Answer {
	return p.refuseUnstarted(r, reasonMemory)
}

func (p *Proxy) refuseUnstarted(r *berylhttpserver.Request, reason string) *berylhttpserver.Answer {
	q := &request{Request: r}
	if config := p.State().Config; config != nil {
		q.rule = config.Match(r.Host, r.Path)
	}
	a := p.refuse(q, http.StatusServiceUnavailable, reason, berylbackoff.MinDelay)
	a.OmitBody = r.Method == http.MethodHead
	p.recordRequest(q, a)
	return a
}

// finishUnanswered returns the answer to a request that no attempt answered
// successfully: the error answer of a backend server if there is one, else a refusal.
func (p *Proxy) finishUnanswered(parent, ctx context.Context, q *request, st *attemptState) *berylhttpserver.Answer {
	stopping := isStopping(parent)
	if stopping {
		q.reason = berylreply.ReasonShuttingDown
	}
	switch {
	case parent.Err() != nil && !stopping:
		q.reason = berylreply.ReasonCanceled
		return &berylhttpserver.Answer{Abort: true}
	case st.failedAnswer != nil:
		return p.newAnswer(st.failedAnswer, func() {})
	case st.quarantined && !st.maybeRan:
		return p.refuse(q, http.StatusServiceUnavailable, berylreply.ReasonQuarantined, max(st.retryAfter, berylbackoff.MinDelay))
	case st.maybeRan && ctx.Err() != nil:
		if !stopping {
			p.recordDuration(q, http.StatusGatewayTimeout)
		}
		return p.refuse(q, http.StatusGatewayTimeout, q.reason, 0)
	case st.maybeRan:
		return p.refuse(q, http.StatusBadGateway, q.reason, 0)
	case q.attempts == 0 && !st.overloaded && !stopping:
		return p.refuse(q, http.StatusServiceUnavailable, p.reasonUnplaced(q), retryDelay(q, 0))
	case st.shed:
		return p.refuse(q, http.StatusServiceUnavailable, berylreply.ReasonShedding, sheddingDelay(q))
	case st.overloaded:
		q.queueTime = time.Since(q.ReceivedAt) + refusedCallWait
		if q.reason == "" {
			q.reason = berylreply.ReasonThrottled
		}
		return p.refuse(q, http.StatusServiceUnavailable, q.reason, retryDelay(q, st.retryAfter))
	}
	return p.refuse(q, http.StatusServiceUnavailable, q.reason, berylbackoff.MinDelay)
}
