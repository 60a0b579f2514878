// Package berylholder spends tokens granted to one daemon and decides when to
// ask for more and whom.
package berylholder

import (
	"math"
	"time"

	"berylspan/core/berylask"
	"berylspan/core/berylbatch"
	"berylspan/core/berylclass"
	"berylspan/core/berylspent"
	"berylspan/core/berylterm"
)

// Holder keeps the live batches of every workspace that calls this daemon. It
// asks the own data centre first and the others when that has too little. It is
// not safe for concurrent use.
type Holder struct {
	term     berylterm.Timing
	newID    func() uint64
	accounts map[string]*account
}

type account struct {
	batches []batch
	pending pending
	demand  [berylclass.Count]float64 // calls per second
	at      time.Time
	waiting [berylclass.Count]int
	dry     map[string]time.Time
	fleet   float64 // calls per second of the whole fleet, as told
	told    time.Time
	asked   time.Time // own data centre
	turn    int
}

type batch struct {
	id      uint64
	zone    string
	n       float64
	spent   float64
	expires time.Time
}

type pending struct {
	id    uint64
	zone  string
	want  float64
	lend  bool
	pause time.Duration
	at    time.Time
}

const (
	demandSpan  = 500 * time.Millisecond
	ahead       = 200 * time.Millisecond // demand that a batch covers
	refillAt    = 100 * time.Millisecond // demand covered when more is asked for
	dryNear     = 30 * time.Millisecond
	dryFar      = 150 * time.Millisecond
	askTimeout  = 200 * time.Millisecond
	lostNear    = 300 * time.Millisecond // for which an own data centre that failed to answer is passed over
	toldLife    = 2 * time.Second
	reportEvery = 400 * time.Millisecond
	reportFrom  = 1.0 // calls per second
	accountLife = time.Minute
	minLife     = 300 * time.Millisecond // left of a token for the call to wait for a slot
)

// New returns a holder without tokens. NewID returns numbers that no other ask
// of the fleet carries.
func New(term berylterm.Timing, newID func() uint64) *Holder {
	return &Holder{term: term, newID: newID, accounts: map[string]*account{}}
}

func (h *Holder) account(now time.Time, workspace string) *account {
	a := h.accounts[workspace]
	if a == nil {
		a = &account{at: now, dry: map[string]time.Time{}}
		h.accounts[workspace] = a
	}
	return a
}

// Call records that the workspace sent a call of the class.
func (h *Holder) Call(now time.Time, workspace string, class berylclass.Class) {
	a := h.account(now, workspace)
	a.decay(now)
	a.demand[class] += 1 / demandSpan.Seconds()
}

func (a *account) decay(now time.Time) {
	fade := math.Exp(-now.Sub(a.at).Seconds() / demandSpan.Seconds())
	for i := range a.demand {
		a.demand[i] *= fade
	}
	a.at = now
}

// sum returns the demand of all classes.
func (a *account) sum() float64 {
	n := 0.0
	for _, d := range a.demand {
		n += d
	}
	return n
}

// wants splits the tokens to ask for by class: those that calls wait for, and
// what the demand takes until the batch after, less those that are live.
func (a *account) wants(live float64) [berylclass.Count]float64 {
	var out [berylclass.Count]float64
	for i := range out {
		n := a.demand[i]*ahead.Seconds() + float64(a.waiting[i])
		used := min(live, n)
		live -= used
		out[i] = math.Ceil(n - used)
	}
	return out
}

// Take spends one token and returns until when the call may begin, or false
// when there is none beyond those that more important calls wait for.
func (h *Holder) Take(now time.Time, workspace string, class berylclass.Class) (time.Time, bool) {
	a := h.account(now, workspace)
	if before := a.waits(class - 1); before > 0 && a.live(now) < float64(before+1) {
		return time.Time{}, false
	}
	for i := range a.batches {
		b := &a.batches[i]
		if b.spent+1 <= b.n && now.Add(minLife).Before(b.expires) {
			b.spent++
			return b.expires, true
		}
	}
	return time.Time{}, false
}

// Wait changes the number of calls of the class that wait for a token.
func (h *Holder) Wait(now time.Time, workspace string, class berylclass.Class, by int) {
	a := h.account(now, workspace)
	a.waiting[class] = max(a.waiting[class]+by, 0)
}

// waits counts the waiting calls that are at least as important as class.
func (a *account) waits(class berylclass.Class) int {
	n := 0
	for c := berylclass.Critical; c <= class; c++ {
		n += a.waiting[c]
	}
	return n
}

// Plan returns the data centre to ask next and the request, or false when
// nothing is to be asked now. Zones lists the own data centre first.
func (h *Holder) Plan(now time.Time, workspace string, zones []string) (string, berylask.Request, bool) {
	a := h.account(now, workspace)
	a.decay(now)
	if now.Sub(a.pending.at) < askTimeout || len(zones) == 0 {
		return "", berylask.Request{}, false
	}
	zone, want, ok := a.plan(now, zones)
	if !ok {
		return "", berylask.Request{}, false
	}
	ask := berylask.Request{Workspace: workspace, ID: h.newID(), Demand: a.sum(), Want: want, Remote: zone != zones[0]}
	ask.Usage = a.report(now, zone)
	a.pending = pending{id: ask.ID, zone: zone, want: ask.TotalTokens(), pause: dryNear, at: now}
	if ask.Remote {
		a.pending.lend, a.pending.pause = true, dryFar
	} else {
		a.asked = now
	}
	return zone, ask, true
}

// plan decides whom to ask for how much. Without a need the own data centre is
// told of the demand now and then.
func (a *account) plan(now time.Time, zones []string) (string, [berylclass.Count]float64, bool) {
	live := a.live(now)
	waiting := a.waits(berylclass.Bulk)
	need := a.sum()*refillAt.Seconds() + float64(waiting)
	want := a.wants(live)
	short := live < need && (waiting > 0 || need >= 1) && berylask.Request{Want: want}.TotalTokens() >= 1
	if zone, ok := a.zone(now, zones); ok && short {
		return zone, want, true
	}
	if a.sum() >= reportFrom && now.Sub(a.asked) >= reportEvery {
		return zones[0], [berylclass.Count]float64{}, true
	}
	return "", want, false
}

func (a *account) live(now time.Time) float64 {
	n := 0.0
	for _, b := range a.batches {
		if now.Add(minLife).Before(b.expires) {
			n += b.n - b.spent
		}
	}
	return n
}

// zone returns the own data centre unless it was dry just now, then the others
// in turn.
func (a *account) zone(now time.Time, zones []string) (string, bool) {
	if !now.Before(a.dry[zones[0]]) {
		return zones[0], true
	}
	others := zones[1:]
	for i := range others {
		z := others[(a.turn+i)%len(others)]
		if !now.Before(a.dry[z]) {
			a.turn += i + 1
			return z, true
		}
	}
	return "", false
}

// report lists the batches of zone and forgets those that are done with.
func (a *account) report(now time.Time, zone string) []berylspent.Usage {
	var out []berylspent.Usage
	kept := a.batches[:0]
	for _, b := range a.batches {
		done := b.spent >= b.n || !now.Add(minLife).Before(b.expires)
		if b.zone == zone {
			out = append(out, berylspent.Usage{BatchID: b.id, Tokens: b.spent, Closed: done})
		}
		if !done || b.zone != zone && now.Before(b.expires) {
			kept = append(kept, b)
		}
	}
	a.batches = kept
	return out
}

// Got records the answer of zone to an ask. An answer that comes twice, or to
// an ask given up, is ignored.
func (h *Holder) Got(now time.Time, workspace, zone string, g berylbatch.Batch) {
	a := h.account(now, workspace)
	if g.ID != a.pending.id || zone != a.pending.zone {
		return
	}
	p := a.pending
	a.pending = pending{}
	if !p.lend {
		a.fleet, a.told = g.FleetDemand, now
	}
	if g.Tokens > 0 {
		expires := p.at.Add(h.term.ShortenForDrift(g.TTL))
		a.batches = append(a.batches, batch{id: g.ID, zone: zone, n: g.Tokens, expires: expires})
	}
	if g.Tokens < p.want {
		a.dry[zone] = now.Add(p.pause)
	}
}

// Failed records that zone did not answer the ask with the given id.
func (h *Holder) Failed(now time.Time, workspace, zone string, id uint64) {
	a := h.account(now, workspace)
	if a.pending.id != id {
		return
	}
	a.dry[zone] = now.Add(lostNear)
	a.pending = pending{}
}

// Hopeless tells whether a call should not wait for a token: every data centre
// had too little just now and more calls as important wait already than rate,
// in tokens per second, brings within the given time.
func (h *Holder) Hopeless(now time.Time, workspace string, class berylclass.Class, zones []string, rate float64, within time.Duration) bool {
	a := h.account(now, workspace)
	if float64(a.waits(class)) <= max(1, rate*within.Seconds()) || now.Sub(a.pending.at) < askTimeout {
		return false
	}
	_, ok := a.zone(now, zones)
	return !ok
}

// Demand returns the rate, in calls per second, at which the workspace calls
// the whole fleet, as far as this daemon knows.
func (h *Holder) Demand(now time.Time, workspace string) float64 {
	a := h.account(now, workspace)
	if now.Sub(a.told) > toldLife {
		return a.sum()
	}
	return max(a.fleet, a.sum())
}

// Active returns the workspaces for which tokens may have to be asked for and
// forgets those that have been quiet.
func (h *Holder) Active(now time.Time) []string {
	var out []string
	for name, a := range h.accounts {
		if now.Sub(a.at) > accountLife && a.waits(berylclass.Bulk) == 0 {
			delete(h.accounts, name)
			continue
		}
		out = append(out, name)
	}
	return out
}
