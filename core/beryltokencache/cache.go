// Package beryltokencache keeps the tokens granted to one daemon, spends them and decides
// when to request more and from which data centre.
package beryltokencache

import (
	"math"
	"time"

	"berylspan/core/berylclass"
	"berylspan/core/beryltiming"
	"berylspan/core/beryltokenbatch"
	"berylspan/core/beryltokenrequest"
	"berylspan/core/beryltokenusage"
)

// TokenCache keeps the live batches of every workspace that calls this daemon. It
// requests tokens from the own data centre first and from the others when that has
// too few. It is not safe for concurrent use.
type TokenCache struct {
	timing   beryltiming.Timing
	newID    func() uint64
	accounts map[string]*account
}

type account struct {
	batches        []batch
	pending        pending
	demand         [berylclass.Count]float64 // calls per second
	decayedAt      time.Time
	waiting        [berylclass.Count]int
	skipUntil      map[string]time.Time // end of the backoff by data centre
	fleetDemand    float64              // calls per second over the whole fleet, as last reported
	fleetDemandAt  time.Time
	localRequestAt time.Time // to the own data centre
	nextZone       int       // offset into the other data centres
}

type batch struct {
	id      uint64
	zone    string
	tokens  float64
	spent   float64
	expires time.Time
}

type pending struct {
	id      uint64
	zone    string
	tokens  float64
	remote  bool
	backoff time.Duration
	sentAt  time.Time
}

const (
	demandWindow       = 500 * time.Millisecond // time constant of the demand
	prefetchPeriod     = 200 * time.Millisecond // demand that a request covers
	refillThreshold    = 100 * time.Millisecond // more tokens are requested when the live ones cover less demand
	localBackoff       = 30 * time.Millisecond  // after the own data centre granted too few tokens
	remoteBackoff      = 150 * time.Millisecond // after another data centre granted too few tokens
	requestTimeout     = 200 * time.Millisecond
	failureBackoff     = 300 * time.Millisecond // after a data centre failed to answer
	fleetDemandTTL     = 2 * time.Second
	reportInterval     = 400 * time.Millisecond // longest time between reports of the demand
	minReportedDemand  = 1.0                    // calls per second
	accountIdleTimeout = time.Minute
	minRemainingTTL    = 300 * time.Millisecond // of a token, so that the call has time to wait for a slot
)

// New returns a cache without tokens. NewID returns request ids that are unique in
// the fleet.
func New(timing beryltiming.Timing, newID func() uint64) *TokenCache {
	return &TokenCache{timing: timing, newID: newID, accounts: map[string]*account{}}
}

func (c *TokenCache) account(now time.Time, workspace string) *account {
	a := c.accounts[workspace]
	if a == nil {
		a = &account{decayedAt: now, skipUntil: map[string]time.Time{}}
		c.accounts[workspace] = a
	}
	return a
}

// RecordCall records that the workspace sent a call of the class.
func (c *TokenCache) RecordCall(now time.Time, workspace string, class berylclass.Class) {
	a := c.account(now, workspace)
	a.decay(now)
	a.demand[class] += 1 / demandWindow.Seconds()
}

// decay applies the exponential decay to the demand.
func (a *account) decay(now time.Time) {
	factor := math.Exp(-now.Sub(a.decayedAt).Seconds() / demandWindow.Seconds())
	for i := range a.demand {
		a.demand[i] *= factor
	}
	a.decayedAt = now
}

// totalDemand returns the demand of all classes.
func (a *account) totalDemand() float64 {
	sum := 0.0
	for _, d := range a.demand {
		sum += d
	}
	return sum
}

// tokensWanted returns the tokens to request by class: those that calls wait for and
// the demand of prefetchPeriod, less the live tokens.
func (a *account) tokensWanted(live float64) [berylclass.Count]float64 {
	var out [berylclass.Count]float64
	for i := range out {
		n := a.demand[i]*prefetchPeriod.Seconds() + float64(a.waiting[i])
		used := min(live, n)
		live -= used
		out[i] = math.Ceil(n - used)
	}
	return out
}

// Take spends one token and returns the time until which the call may begin, or
// false when no token is left beyond those that more important calls wait for.
func (c *TokenCache) Take(now time.Time, workspace string, class berylclass.Class) (time.Time, bool) {
	a := c.account(now, workspace)
	if moreImportant := a.waitingAtLeast(class - 1); moreImportant > 0 && a.liveTokens(now) < float64(moreImportant+1) {
		return time.Time{}, false
	}
	for i := range a.batches {
		b := &a.batches[i]
		if b.spent+1 <= b.tokens && now.Add(minRemainingTTL).Before(b.expires) {
			b.spent++
			return b.expires, true
		}
	}
	return time.Time{}, false
}

// AddWaiting changes the number of calls of the class that wait for a token.
func (c *TokenCache) AddWaiting(now time.Time, workspace string, class berylclass.Class, delta int) {
	a := c.account(now, workspace)
	a.waiting[class] = max(a.waiting[class]+delta, 0)
}

// waitingAtLeast counts the waiting calls that are at least as important as class.
func (a *account) waitingAtLeast(class berylclass.Class) int {
	n := 0
	for c := berylclass.Critical; c <= class; c++ {
		n += a.waiting[c]
	}
	return n
}

// NextRequest returns the data centre to send the next request to and the request, or
// false when none is due. Zones lists the own data centre first.
func (c *TokenCache) NextRequest(now time.Time, workspace string, zones []string) (string, beryltokenrequest.Request, bool) {
	a := c.account(now, workspace)
	a.decay(now)
	if now.Sub(a.pending.sentAt) < requestTimeout || len(zones) == 0 {
		return "", beryltokenrequest.Request{}, false
	}
	zone, want, ok := a.planRequest(now, zones)
	if !ok {
		return "", beryltokenrequest.Request{}, false
	}
	req := beryltokenrequest.Request{Workspace: workspace, ID: c.newID(), Demand: a.totalDemand(), Want: want, Remote: zone != zones[0]}
	req.Usage = a.usageReports(now, zone)
	a.pending = pending{id: req.ID, zone: zone, tokens: req.TotalTokens(), backoff: localBackoff, sentAt: now}
	if req.Remote {
		a.pending.remote, a.pending.backoff = true, remoteBackoff
	} else {
		a.localRequestAt = now
	}
	return zone, req, true
}

// planRequest chooses the data centre and the tokens to request. When it requests
// none, but the own data centre has had no request for reportInterval, it returns a
// request for no tokens, which reports the demand.
func (a *account) planRequest(now time.Time, zones []string) (string, [berylclass.Count]float64, bool) {
	live := a.liveTokens(now)
	waiting := a.waitingAtLeast(berylclass.Bulk)
	need := a.totalDemand()*refillThreshold.Seconds() + float64(waiting)
	want := a.tokensWanted(live)
	short := live < need && (waiting > 0 || need >= 1) && beryltokenrequest.Request{Want: want}.TotalTokens() >= 1
	if zone, ok := a.pickZone(now, zones); ok && short {
		return zone, want, true
	}
	if a.totalDemand() >= minReportedDemand && now.Sub(a.localRequestAt) >= reportInterval {
		return zones[0], [berylclass.Count]float64{}, true
	}
	return "", want, false
}

// liveTokens returns the unspent tokens that stay valid for more than minRemainingTTL.
func (a *account) liveTokens(now time.Time) float64 {
	sum := 0.0
	for _, b := range a.batches {
		if now.Add(minRemainingTTL).Before(b.expires) {
			sum += b.tokens - b.spent
		}
	}
	return sum
}

// pickZone returns the own data centre unless it is in backoff, else the others in
// turn.
func (a *account) pickZone(now time.Time, zones []string) (string, bool) {
	if !now.Before(a.skipUntil[zones[0]]) {
		return zones[0], true
	}
	others := zones[1:]
	for i := range others {
		z := others[(a.nextZone+i)%len(others)]
		if !now.Before(a.skipUntil[z]) {
			a.nextZone += i + 1
			return z, true
		}
	}
	return "", false
}

// usageReports returns a report on each batch of zone and drops the batches that need
// no further report.
func (a *account) usageReports(now time.Time, zone string) []beryltokenusage.Usage {
	var out []beryltokenusage.Usage
	kept := a.batches[:0]
	for _, b := range a.batches {
		done := b.spent >= b.tokens || !now.Add(minRemainingTTL).Before(b.expires)
		if b.zone == zone {
			out = append(out, beryltokenusage.Usage{BatchID: b.id, Tokens: b.spent, Closed: done})
		}
		if !done || b.zone != zone && now.Before(b.expires) {
			kept = append(kept, b)
		}
	}
	a.batches = kept
	return out
}

// HandleBatch records zone's answer to a request. A duplicate answer, or one to a
// request that was given up, is ignored.
func (c *TokenCache) HandleBatch(now time.Time, workspace, zone string, granted beryltokenbatch.Batch) {
	a := c.account(now, workspace)
	if granted.ID != a.pending.id || zone != a.pending.zone {
		return
	}
	p := a.pending
	a.pending = pending{}
	if !p.remote {
		a.fleetDemand, a.fleetDemandAt = granted.FleetDemand, now
	}
	expires := p.sentAt.Add(c.timing.ShortenForDrift(granted.TTL))
	usable := now.Add(minRemainingTTL).Before(expires)
	if granted.Tokens > 0 {
		a.batches = append(a.batches, batch{id: granted.ID, zone: zone, tokens: granted.Tokens, expires: expires})
	}
	if granted.Tokens < p.tokens || !usable {
		a.skipUntil[zone] = now.Add(p.backoff)
	}
}

// HandleFailure records that zone did not answer the request with the given id.
func (c *TokenCache) HandleFailure(now time.Time, workspace, zone string, id uint64) {
	a := c.account(now, workspace)
	if a.pending.id != id {
		return
	}
	a.skipUntil[zone] = now.Add(failureBackoff)
	a.pending = pending{}
}

// ShouldReject tells whether a call should be rejected rather than wait for a token:
// every data centre is in backoff, and more calls of the same or greater importance
// wait already than rate, in tokens per second, can serve within the given time.
func (c *TokenCache) ShouldReject(now time.Time, workspace string, class berylclass.Class, zones []string, rate float64, within time.Duration) bool {
	a := c.account(now, workspace)
	if float64(a.waitingAtLeast(class)) <= max(1, rate*within.Seconds()) || now.Sub(a.pending.sentAt) < requestTimeout {
		return false
	}
	_, ok := a.pickZone(now, zones)
	return !ok
}

// FleetDemand returns the rate, in calls per second, at which the workspace calls the
// whole fleet, as far as this daemon knows.
func (c *TokenCache) FleetDemand(now time.Time, workspace string) float64 {
	a := c.account(now, workspace)
	if now.Sub(a.fleetDemandAt) > fleetDemandTTL {
		return a.totalDemand()
	}
	return max(a.fleetDemand, a.totalDemand())
}

// ActiveWorkspaces returns the workspaces for which tokens may have to be requested
// and drops the accounts that have been idle for accountIdleTimeout.
func (c *TokenCache) ActiveWorkspaces(now time.Time) []string {
	var out []string
	for name, a := range c.accounts {
		if now.Sub(a.decayedAt) > accountIdleTimeout && a.waitingAtLeast(berylclass.Bulk) == 0 {
			delete(c.accounts, name)
			continue
		}
		out = append(out, name)
	}
	return out
}
