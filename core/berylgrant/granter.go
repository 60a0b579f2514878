// Package berylgrant hands out a data centre's share of the workspaces' rates
// and bursts in short-lived batches of tokens.
package berylgrant

import (
	"math"
	"time"

	"berylspan/core/berylask"
	"berylspan/core/berylbatch"
	"berylspan/core/berylclass"
	"berylspan/core/beryldemand"
	"berylspan/core/berylspent"
	"berylspan/core/berylterm"
)

// Granter grants tokens of the workspaces of one shard while its instance owns
// that shard. In every window of length w it grants, and holders can spend, at
// most rate*w+burst tokens: tokens granted and not yet expired count against
// the burst. It is not safe for concurrent use.
type Granter struct {
	term    berylterm.Timing
	since   time.Time
	buckets map[string]*bucket
}

type bucket struct {
	level  float64
	rate   float64
	burst  float64
	at     time.Time
	out    map[uint64]batch
	own    float64                   // tokens per second granted lately in the own data centre
	given  [berylclass.Count]float64 // tokens per second granted lately
	fadeAt time.Time
	near   *beryldemand.Aggregator // by holder of the own data centre
	far    *beryldemand.Aggregator // by other data centre
	lately time.Time
}

type batch struct {
	n       float64
	spent   float64
	expires time.Time
}

const (
	givenSpan   = time.Second
	idle        = 30 * time.Second
	reserveFor  = 80 * time.Millisecond
	rounding    = 1e-6 // tokens
	mostReserve = 0.5  // part of the burst that may be kept from less important calls
)

// New returns a granter that owns nothing before since.
func New(since time.Time, term berylterm.Timing) *Granter {
	return &Granter{term: term, since: since, buckets: map[string]*bucket{}}
}

// Grant answers a. Rate and burst are the data centre's share, until is the end
// of the ownership that the granter acts under. The batch has no tokens when
// there are none to give.
func (g *Granter) Grant(now, until time.Time, a berylask.Request, rate, burst float64) berylbatch.Batch {
	b := g.bucket(now, a.Workspace, rate, burst)
	// What accrued until now was bounded by what was out until now, so the
	// refill comes before the news of what was spent.
	b.refill(now, rate*(1-g.term.MaxClockDrift), burst)
	for _, s := range a.Usage {
		b.spent(s)
	}
	life := min(g.term.BatchTTL, until.Sub(now))
	if !a.Remote {
		b.near.Report(now, a.Requester, a.Demand)
	}
	demand := b.near.Sum(now) + b.far.Sum(now)
	n := b.split(a)
	if n <= 0 || life <= 0 {
		return berylbatch.Batch{ID: a.ID, FleetDemand: demand}
	}
	if _, twice := b.out[a.ID]; twice {
		return berylbatch.Batch{ID: a.ID, FleetDemand: demand}
	}
	b.level -= n
	b.out[a.ID] = batch{n: n, expires: now.Add(g.term.ExtendForDrift(life))}
	if !a.Remote {
		b.own += n / givenSpan.Seconds()
	}
	return berylbatch.Batch{ID: a.ID, Tokens: n, TTL: life, FleetDemand: demand}
}

func (g *Granter) bucket(now time.Time, workspace string, rate, burst float64) *bucket {
	b := g.buckets[workspace]
	if b == nil {
		b = &bucket{at: g.since, fadeAt: now, rate: rate, burst: burst, out: map[uint64]batch{}, near: beryldemand.New(), far: beryldemand.New()}
		g.buckets[workspace] = b
	}
	b.lately = now
	return b
}

// refill adds what accrued since the last time. At every moment the level and
// the tokens that are out, spent or not as far as known, stay within the burst:
// a batch that expired may have been spent just before.
func (b *bucket) refill(now time.Time, rate, burst float64) {
	rate, b.rate, b.burst = min(rate, b.rate), rate, burst
	for {
		id, at, ok := b.expiring(now)
		if !ok {
			break
		}
		b.accrue(at, rate)
		delete(b.out, id)
	}
	b.accrue(now, rate)
	b.fade(now)
}

// expiring returns the batch that expires next, if by now.
func (b *bucket) expiring(now time.Time) (id uint64, at time.Time, ok bool) {
	for i, o := range b.out {
		if !o.expires.After(now) && (!ok || o.expires.Before(at)) {
			id, at, ok = i, o.expires, true
		}
	}
	return id, at, ok
}

// accrue adds rate tokens per second up to the time at.
func (b *bucket) accrue(at time.Time, rate float64) {
	if dt := at.Sub(b.at).Seconds(); dt > 0 {
		b.level += dt * rate
		b.at = at
	}
	out := 0.0
	for _, o := range b.out {
		out += o.n - o.spent
	}
	b.level = max(min(b.level, b.burst-out), 0)
}

// fade lets the recent flows decline.
func (b *bucket) fade(now time.Time) {
	part := math.Exp(-now.Sub(b.fadeAt).Seconds() / givenSpan.Seconds())
	b.own *= part
	for i := range b.given {
		b.given[i] *= part
	}
	b.fadeAt = now
}

func (b *bucket) spent(s berylspent.Usage) {
	o, ok := b.out[s.BatchID]
	if !ok {
		return
	}
	if s.Closed {
		b.level += max(o.n-s.Tokens, 0)
		delete(b.out, s.BatchID)
		return
	}
	o.spent = min(max(o.spent, s.Tokens), o.n)
	b.out[s.BatchID] = o
}

// split returns how many tokens to grant. The most important calls come first,
// and what they lately got in the time that a reserve covers is kept from the
// others. A lender also keeps what its own data centre is likely to ask for.
func (b *bucket) split(a berylask.Request) float64 {
	keep := 0.0
	if a.Remote {
		keep = b.own * reserveFor.Seconds()
	}
	n := 0.0
	for class, want := range a.Want {
		got := max(min(want, b.level-n-keep), 0)
		n += got
		b.given[class] += got / givenSpan.Seconds()
		keep = min(keep+b.given[class]*reserveFor.Seconds(), b.burst*mostReserve)
	}
	return math.Floor(n)
}

// Sound tells whether the tokens of the workspace that may still be spent stay
// within its burst. A burst that has shrunk leaves no level until they do.
func (g *Granter) Sound(workspace string) bool {
	b := g.buckets[workspace]
	if b == nil || b.level == 0 {
		return true
	}
	sum := b.level
	for _, o := range b.out {
		sum += o.n - o.spent
	}
	return sum <= b.burst+rounding
}

// Near returns the calls per second of each workspace in the own data centre.
func (g *Granter) Near(now time.Time) map[string]float64 {
	out := map[string]float64{}
	for name, b := range g.buckets {
		if sum := b.near.Sum(now); sum > 0 {
			out[name] = sum
		}
	}
	return out
}

// Far takes another data centre's Near. Workspaces that nobody calls here are
// left out.
func (g *Granter) Far(now time.Time, zone string, demand map[string]float64) {
	for name, d := range demand {
		if b := g.buckets[name]; b != nil {
			b.far.Report(now, zone, d)
		}
	}
}

// Sweep forgets workspaces that asked for nothing lately and have no tokens
// out; their level is full again by then or is given up.
func (g *Granter) Sweep(now time.Time) {
	for name, b := range g.buckets {
		if now.Sub(b.lately) > idle && b.level+now.Sub(b.at).Seconds()*b.rate >= b.burst {
			delete(g.buckets, name)
		}
	}
}
