// Package berylcalls learns which requests make which nested calls.
//
// It answers a service whose requests differ in what they need below: a call
// does not say which request made it, but the more requests of a rule run, the
// more of its calls appear. The rates are fitted to what was seen by least
// squares, none of them below zero.
package berylcalls

import (
	"math"
	"time"
)

// Calls learns from the requests that run on one server. It is not safe for
// concurrent use.
type Calls struct {
	active map[string]int
	both   map[string]map[string]float64 // seconds times requests of one rule and another
	seen   map[string]map[string]float64 // running requests at calls, by call and rule
	fitted map[string]map[string]float64 // calls per second of running, by call and rule
	fit    time.Time
	at     time.Time
	begun  bool
}

const (
	memory   = 30.0 // seconds after which an observation counts a third
	fitEvery = time.Second
	rounds   = 60   // of the fit; it has settled long before
	ridge    = 0.05 // seconds of running that stand for no calls, so that little is concluded from little
	notable  = 0.02 // calls a second from which a rule is taken to make them; requests that are stuck in their calls make few
	related  = 0.2  // least part of the rate of the rule that makes most of them
)

// New returns a learner without knowledge.
func New() *Calls {
	return &Calls{
		active: map[string]int{}, both: map[string]map[string]float64{},
		seen: map[string]map[string]float64{}, fitted: map[string]map[string]float64{},
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

func (c *Calls) advance(now time.Time) {
	if !c.begun {
		c.begun, c.at, c.fit = true, now, now
		return
	}
	dt := now.Sub(c.at).Seconds()
	if dt <= 0 {
		return
	}
	c.at = now
	for a, n := range c.active {
		r := row(c.both, a)
		for b, m := range c.active {
			r[b] += float64(n) * float64(m) * dt
		}
	}
	if now.Sub(c.fit) >= fitEvery {
		c.refit(now)
	}
}

// refit lets old observations fade and solves for the rates anew.
func (c *Calls) refit(now time.Time) {
	keep := math.Exp(-now.Sub(c.fit).Seconds() / memory)
	c.fit = now
	for _, m := range []map[string]map[string]float64{c.both, c.seen} {
		for _, r := range m {
			for name := range r {
				r[name] *= keep
			}
		}
	}
	for call, by := range c.seen {
		rates := map[string]float64{}
		for range rounds {
			for rule, r := range c.both {
				rest := by[rule]
				for other, t := range r {
					if other != rule {
						rest -= t * rates[other]
					}
				}
				rates[rule] = max(0, rest/(r[rule]+ridge))
			}
		}
		c.fitted[call] = rates
	}
}

// Start records that a request of the rule runs.
func (c *Calls) Start(now time.Time, rule string) {
	c.advance(now)
	c.active[rule]++
}

// End records that one has ended.
func (c *Calls) End(now time.Time, rule string) {
	c.advance(now)
	if c.active[rule]--; c.active[rule] <= 0 {
		delete(c.active, rule)
	}
}

// Call records a call that the server made.
func (c *Calls) Call(now time.Time, call string) {
	c.advance(now)
	by := row(c.seen, call)
	for rule, n := range c.active {
		by[rule] += float64(n)
	}
}

// Of returns the calls that requests of the rule make.
func (c *Calls) Of(rule string) []string {
	var out []string
	for call, rates := range c.fitted {
		most := notable / related
		for _, rate := range rates {
			most = max(most, rate)
		}
		if rates[rule] >= most*related {
			out = append(out, call)
		}
	}
	return out
}
