// Package berylgranter grants a data centre's share of the workspaces' rates and
// bursts as short-lived batches of tokens.
package berylgranter

import (
	"math"
	"time"

	"berylspan/core/berylclass"
	"berylspan/core/beryldemand"
	"berylspan/core/beryltiming"
	"berylspan/core/beryltokenbatch"
	"berylspan/core/beryltokenrequest"
	"berylspan/core/beryltokenusage"
)

// Granter is the token buckets of the workspaces of one shard, kept while its
// instance owns that shard. In every window of length w it grants, and daemons can
// spend, at most rate*w+burst tokens: tokens granted and not yet expired count
// against the burst. It is not safe for concurrent use.
type Granter struct {
	timing     beryltiming.Timing
	ownedSince time.Time
	buckets    map[string]*bucket
}

type bucket struct {
	tokens       float64 // available
	rate         float64 // tokens per second
	burst        float64
	refilledAt   time.Time
	outstanding  map[uint64]batch
	localRate    float64                   // tokens per second recently granted in the own data centre
	rateByClass  [berylclass.Count]float64 // tokens per second recently granted
	decayedAt    time.Time
	localDemand  *beryldemand.Aggregator // by daemon of the own data centre
	remoteDemand *beryldemand.Aggregator // by other data centre
	requestedAt  time.Time
}

type batch struct {
	tokens  float64
	spent   float64
	expires time.Time
}

const (
	rateWindow         = time.Second // time constant of the recent grant rates
	idleTimeout        = 30 * time.Second
	reservePeriod      = 80 * time.Millisecond // tokens for this period are reserved at the recent grant rates
	roundingTolerance  = 1e-6                  // tokens
	maxReserveFraction = 0.5                   // largest part of the burst reserved for more important classes
)

// New returns a granter for an ownership of the shard that began at ownedSince;
// tokens accrue from then on.
func New(ownedSince time.Time, timing beryltiming.Timing) *Granter {
	return &Granter{timing: timing, ownedSince: ownedSince, buckets: map[string]*bucket{}}
}

// Grant answers req. Rate and burst are the data centre's share, ownedUntil is the
// end of the instance's ownership of the shard, which limits the TTL. The batch has
// no tokens when none can be granted or when req repeats one whose batch is still
// outstanding.
func (g *Granter) Grant(now, ownedUntil time.Time, req beryltokenrequest.Request, rate, burst float64) beryltokenbatch.Batch {
	b := g.bucket(now, req.Workspace, rate, burst)
	// The accrual up to now is bounded by the tokens that were outstanding up to
	// now, so the bucket is refilled before the usage reports are applied.
	b.refill(now, rate*(1-g.timing.MaxClockDrift), burst)
	for _, u := range req.Usage {
		b.applyUsage(u)
	}
	ttl := min(g.timing.BatchTTL, ownedUntil.Sub(now))
	if !req.Remote {
		b.localDemand.Report(now, req.Requester, req.Demand)
	}
	demand := b.localDemand.Sum(now) + b.remoteDemand.Sum(now)
	tokens := b.allocate(req)
	if tokens <= 0 || ttl <= 0 {
		return beryltokenbatch.Batch{ID: req.ID, FleetDemand: demand}
	}
	if _, duplicate := b.outstanding[req.ID]; duplicate {
		return beryltokenbatch.Batch{ID: req.ID, FleetDemand: demand}
	}
	b.tokens -= tokens
	b.outstanding[req.ID] = batch{tokens: tokens, expires: now.Add(g.timing.ExtendForDrift(ttl))}
	if !req.Remote {
		b.localRate += tokens / rateWindow.Seconds()
	}
	return beryltokenbatch.Batch{ID: req.ID, Tokens: tokens, TTL: ttl, FleetDemand: demand}
}

func (g *Granter) bucket(now time.Time, workspace string, rate, burst float64) *bucket {
	b := g.buckets[workspace]
	if b == nil {
		b = &bucket{refilledAt: g.ownedSince, decayedAt: now, rate: rate, burst: burst, outstanding: map[uint64]batch{}, localDemand: beryldemand.New(), remoteDemand: beryldemand.New()}
		g.buckets[workspace] = b
	}
	b.requestedAt = now
	return b
}

// refill adds the tokens that accrued since the last refill. At every moment the
// available tokens and the outstanding tokens not reported as spent stay within the
// burst. A batch counts until it expires, as it may be spent just before that.
func (b *bucket) refill(now time.Time, rate, burst float64) {
	rate, b.rate, b.burst = min(rate, b.rate), rate, burst
	for {
		id, at, ok := b.nextExpired(now)
		if !ok {
			break
		}
		b.accrue(at, rate)
		delete(b.outstanding, id)
	}
	b.accrue(now, rate)
	b.decayRates(now)
}

// nextExpired returns the batch that expired first, if any has expired by now.
func (b *bucket) nextExpired(now time.Time) (id uint64, at time.Time, ok bool) {
	for i, o := range b.outstanding {
		if !o.expires.After(now) && (!ok || o.expires.Before(at)) {
			id, at, ok = i, o.expires, true
		}
	}
	return id, at, ok
}

// accrue adds rate tokens per second up to the time at, within the burst less the
// outstanding tokens.
func (b *bucket) accrue(at time.Time, rate float64) {
	if dt := at.Sub(b.refilledAt).Seconds(); dt > 0 {
		b.tokens += dt * rate
		b.refilledAt = at
	}
	unspent := 0.0
	for _, o := range b.outstanding {
		unspent += o.tokens - o.spent
	}
	b.tokens = max(min(b.tokens, b.burst-unspent), 0)
}

// decayRates applies the exponential decay to the recent grant rates.
func (b *bucket) decayRates(now time.Time) {
	factor := math.Exp(-now.Sub(b.decayedAt).Seconds() / rateWindow.Seconds())
	b.localRate *= factor
	for i := range b.rateByClass {
		b.rateByClass[i] *= factor
	}
	b.decayedAt = now
}

// applyUsage records the spent tokens of a batch; a closed batch returns its unspent
// tokens to the bucket.
func (b *bucket) applyUsage(u beryltokenusage.Usage) {
	issued, ok := b.outstanding[u.BatchID]
	if !ok {
		return
	}
	if u.Closed {
		b.tokens += max(issued.tokens-u.Tokens, 0)
		delete(b.outstanding, u.BatchID)
		return
	}
	issued.spent = min(max(issued.spent, u.Tokens), issued.tokens)
	b.outstanding[u.BatchID] = issued
}

// allocate returns how many tokens to grant. The most important classes come first;
// the tokens that they recently got per reservePeriod are reserved for them and not
// granted to less important ones. A request from another data centre does not get
// the tokens that the own data centre is likely to request either.
func (b *bucket) allocate(req beryltokenrequest.Request) float64 {
	reserved := 0.0
	if req.Remote {
		reserved = b.localRate * reservePeriod.Seconds()
	}
	total := 0.0
	for class, want := range req.Want {
		granted := max(min(want, b.tokens-total-reserved), 0)
		total += granted
		b.rateByClass[class] += granted / rateWindow.Seconds()
		reserved = min(reserved+b.rateByClass[class]*reservePeriod.Seconds(), b.burst*maxReserveFraction)
	}
	return math.Floor(total)
}

// WithinBurst tells whether the tokens of the workspace that may still be spent are
// within its burst. After the burst was lowered, no tokens are available until the
// outstanding ones fit into it.
func (g *Granter) WithinBurst(workspace string) bool {
	b := g.buckets[workspace]
	if b == nil || b.tokens == 0 {
		return true
	}
	sum := b.tokens
	for _, o := range b.outstanding {
		sum += o.tokens - o.spent
	}
	return sum <= b.burst+roundingTolerance
}

// LocalDemand returns the calls per second of each workspace in the own data
// centre.
func (g *Granter) LocalDemand(now time.Time) map[string]float64 {
	out := map[string]float64{}
	for name, b := range g.buckets {
		if sum := b.localDemand.Sum(now); sum > 0 {
			out[name] = sum
		}
	}
	return out
}

// ReportRemoteDemand records the LocalDemand of another data centre. Workspaces that
// have requested no tokens here are ignored.
func (g *Granter) ReportRemoteDemand(now time.Time, zone string, demand map[string]float64) {
	for name, d := range demand {
		if b := g.buckets[name]; b != nil {
			b.remoteDemand.Report(now, zone, d)
		}
	}
}

// EvictIdle drops the buckets that got no request for idleTimeout and are full
// again; all their batches have expired by then. A bucket created later accrues
// tokens from ownedSince; those that it then lacks are forfeited.
func (g *Granter) EvictIdle(now time.Time) {
	for name, b := range g.buckets {
		if now.Sub(b.requestedAt) > idleTimeout && b.tokens+now.Sub(b.refilledAt).Seconds()*b.rate >= b.burst {
			delete(g.buckets, name)
		}
	}
}
