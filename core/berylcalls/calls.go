// Package berylcalls learns which requests make which nested calls.
//
// It answers a service whose requests differ in what they need below: a call
// does not say which request made it, but the more requests of a rule run, the
// more of its calls appear. The calls that a request makes are fitted to what was
// seen by least squares, none of them below zero. While requests are stuck in
// their calls nothing is learned, and nothing forgotten.
package berylcalls

import (
	"math"
	"time"
)

// Calls learns from the requests that run on one server and the calls that it
// makes. It is not safe for concurrent use.
type Calls struct {
	rules   map[string]*rule
	made    map[string]float64            // calls in this sample
	both    map[string]map[string]float64 // products of requests, by rule and rule
	seen    map[string]map[string]float64 // products of calls and requests
	of      map[string][]string
	samples int // since the last fit
	at      time.Time
	sample  time.Time
	fit     time.Time
}

// rule is what runs of one rule.
type rule struct {
	running int
	area    float64 // seconds of running in this sample
	ended   float64 // requests in this sample
	times   float64 // seconds of running, moving mean of samples
	ends    float64 // requests that ended, moving mean of samples
	base    float64 // seconds of a request while it is not stuck
}

const (
	sampleEvery = 250 * time.Millisecond
	recent      = 0.1   // weight of the newest sample in the time of a request
	rare        = 0.02  // requests a sample, below which their time is not known
	drift       = 1.001 // factor of a sample by which the time of requests that are not stuck may grow
	stuckFrom   = 1.5   // factor on that time from which requests are stuck
	fitEvery    = time.Second
	memory      = 30.0 // seconds after which an observation counts a third
	rounds      = 60   // of the fit; it has settled long before
	ridge       = 0.5  // squared requests that stand for no calls, so that little is concluded from little
	notable     = 0.05 // calls of a request from which its rule is taken to make them
	related     = 0.2  // least part of what requests of the rule make that makes most
	share       = 0.05 // least part of all calls of the name, below which an estimate is mostly noise
)

// New returns a learner without knowledge.
func New() *Calls {
	return &Calls{
		rules: map[string]*rule{}, made: map[string]float64{},
		both: map[string]map[string]float64{}, seen: map[string]map[string]float64{},
		of: map[string][]string{},
	}
}

func row(m map[string]map[string]float64, name string) map[string]float64 {
	r := m[name]
	if r == nil {
		r = map[string]float64{}
		m[name] = r
	}
	return r
}

func (c *Calls) rule(name string) *rule {
	r := c.rules[name]
	if r == nil {
		r = &rule{}
		c.rules[name] = r
	}
	return r
}

// Start records that a request of the rule runs.
func (c *Calls) Start(now time.Time, name string) {
	c.advance(now)
	c.rule(name).running++
}

// End records that one has ended.
func (c *Calls) End(now time.Time, name string) {
	c.advance(now)
	r := c.rule(name)
	r.running--
	r.ended++
}

// Call records a call that the server made.
func (c *Calls) Call(now time.Time, call string) {
	c.advance(now)
	c.made[call]++
}

func (c *Calls) advance(now time.Time) {
	if c.at.IsZero() {
		c.at, c.sample, c.fit = now, now, now
	}
	dt := now.Sub(c.at).Seconds()
	c.at = now
	for _, r := range c.rules {
		r.area += float64(r.running) * dt
	}
	if now.Sub(c.sample) < sampleEvery {
		return
	}
	c.sample = now
	c.take()
	if now.Sub(c.fit) >= fitEvery && c.samples > 0 {
		c.refit(math.Exp(-float64(c.samples) * sampleEvery.Seconds() / memory))
		c.fit, c.samples = now, 0
	}
}

// take adds a sample to what was seen.
func (c *Calls) take() {
	requests := make(map[string]float64, len(c.rules))
	stuck := false
	for name, r := range c.rules {
		r.times += recent * (r.area - r.times)
		r.ends += recent * (r.ended - r.ends)
		if r.ends > rare && r.times > 0 {
			took := r.times / r.ends
			if r.base == 0 {
				r.base = took
			}
			r.base = min(r.base*drift, took)
			stuck = stuck || took > r.base*stuckFrom
			requests[name] = r.area / took
		} else if r.running > 0 && r.base > 0 {
			stuck = true
		}
		if r.running == 0 && r.ends <= rare {
			delete(c.rules, name)
		}
		r.area, r.ended = 0, 0
	}
	if stuck {
		// Calls no longer follow the requests that make them.
		clear(c.made)
		return
	}
	c.samples++
	for a, n := range requests {
		by := row(c.both, a)
		for b, m := range requests {
			by[b] += n * m
		}
	}
	for call, k := range c.made {
		by := row(c.seen, call)
		for name, n := range requests {
			by[name] += k * n
		}
	}
	clear(c.made)
}

// fade lowers sums and drops those that are as good as nothing.
func fade(m map[string]float64, by float64) {
	const nothing = 1e-3
	for name := range m {
		if m[name] *= by; m[name] < nothing {
			delete(m, name)
		}
	}
}

// refit lets old observations fade and solves for the calls of a request anew.
func (c *Calls) refit(keep float64) {
	for _, m := range []map[string]map[string]float64{c.both, c.seen} {
		for name, r := range m {
			if fade(r, keep); len(r) == 0 {
				delete(m, name)
			}
		}
	}
	clear(c.of)
	for call, by := range c.seen {
		fit := map[string]float64{}
		for range rounds {
			for rule, r := range c.both {
				rest := by[rule]
				for other, t := range r {
					if other != rule {
						rest -= t * fit[other]
					}
				}
				fit[rule] = max(0, rest/(r[rule]+ridge))
			}
		}
		c.relate(call, fit)
	}
}

// relate notes which rules make a call.
func (c *Calls) relate(call string, fit map[string]float64) {
	most, all := 0.0, 0.0
	for rule, n := range fit {
		most = max(most, n)
		all += n * math.Sqrt(c.both[rule][rule])
	}
	for rule, n := range fit {
		if n >= notable && n >= most*related && n*math.Sqrt(c.both[rule][rule]) >= all*share {
			c.of[rule] = append(c.of[rule], call)
		}
	}
}

// Of returns the calls that requests of the rule make. It must not be changed.
func (c *Calls) Of(rule string) []string { return c.of[rule] }
