// Package berylcalls learns which requests make which nested calls.
//
// It answers a service whose requests differ in what they need below: a call
// does not say which request made it, but the more requests of a rule run, the
// more of its calls appear. Calls are shared out among the running requests in
// proportion to what is known so far, which converges to the true rates.
package berylcalls

import (
	"math"
	"time"
)

// Calls learns from the requests that run on one server. It is not safe for
// concurrent use.
type Calls struct {
	active map[string]int
	time   map[string]float64            // seconds run, by rule
	seen   map[string]map[string]float64 // calls, by call and rule
	at     time.Time
	begun  bool
}

const (
	memory    = 20.0 // seconds after which an observation counts a third
	priorTime = 0.5  // seconds of running that stand for no knowledge
	priorSeen = 0.5  // calls in that time
	notable   = 0.5  // calls a second from which a rule is taken to make them
)

// New returns a learner without knowledge.
func New() *Calls {
	return &Calls{active: map[string]int{}, time: map[string]float64{}, seen: map[string]map[string]float64{}}
}

func (c *Calls) advance(now time.Time) {
	if !c.begun {
		c.begun, c.at = true, now
		return
	}
	dt := now.Sub(c.at).Seconds()
	if dt <= 0 {
		return
	}
	c.at = now
	keep := math.Exp(-dt / memory)
	for rule := range c.time {
		c.time[rule] *= keep
	}
	for _, by := range c.seen {
		for rule := range by {
			by[rule] *= keep
		}
	}
	for rule, n := range c.active {
		c.time[rule] += float64(n) * dt
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
	by := c.seen[call]
	if by == nil {
		by = map[string]float64{}
		c.seen[call] = by
	}
	total := 0.0
	for rule, n := range c.active {
		total += float64(n) * c.rate(call, rule)
	}
	if total <= 0 {
		return
	}
	for rule, n := range c.active {
		by[rule] += float64(n) * c.rate(call, rule) / total
	}
}

// rate is in calls per second of running.
func (c *Calls) rate(call, rule string) float64 {
	return (c.seen[call][rule] + priorSeen) / (c.time[rule] + priorTime)
}

// Of returns the calls that requests of the rule make.
func (c *Calls) Of(rule string) []string {
	var out []string
	for call := range c.seen {
		if c.seen[call][rule] > priorSeen && c.rate(call, rule) > notable {
			out = append(out, call)
		}
	}
	return out
}
