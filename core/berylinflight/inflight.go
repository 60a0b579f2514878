// Package berylinflight bounds the requests that run on a server while what they
// call is overloaded.
//
// It answers a service in the depth that is offered more than it can run. A
// request that waits for its calls holds a slot here and gets later with every
// call; more of them running at once only means that more are late or fail, after
// work was spent on them at every level. When too many of a rule's requests end late
// or fail, no more may run than end, at the rate seen, within the time that one
// has (Little's law); what exceeds the bound is refused before it has cost
// anything. Rules whose requests end well are not bound.
package berylinflight

import (
	"math"
	"time"
)

// Inflight follows the requests that begin on one server. It is not safe for
// concurrent use.
type Inflight struct {
	rules  map[string]*rule
	waited float64 // seconds that calls waited, moving sum
	called float64 // seconds that calls took, moving sum
	ran    float64 // seconds of running, moving sum
	at     time.Time
	runs   int // requests that run now, of all rules
}

// rule is what is known of one rule. A window lasts from one look to the next.
type rule struct {
	limit   float64 // 0 without
	running int
	area    float64   // seconds of running in this window
	begin   time.Time // of this window
	at      time.Time // up to which area counts
	ended   int       // in this window
	bad     int       // of those
	step    int       // of importance
	calm    int       // looks in a row without one that was late or failed
	aim     float64   // seconds that requests have, moving mean
	full    bool      // some were refused in this window
}

const (
	window    = 250 * time.Millisecond // between two looks at least
	enough    = 10                     // requests that end between two looks at least
	plenty    = 60                     // requests that end between two looks from which chance has no part
	tolerable = 0.1                    // part of the least important requests that may be late or fail before fewer run
	important = 3.0                    // factor on that a step of importance: less important requests give way first
	most      = 0.8                    // part that is never tolerable while what is called may be to blame
	use       = 0.8                    // part of the time that requests have which they may take
	fall      = 0.9                    // factor of the bound at a look, at most
	deepest   = 0.25                   // as above, at least
	rise      = 1.1                    // factor of the bound when few are late or fail
	more      = 0.3                    // added to the bound with it
	calm      = 6                      // looks in a row after which the overload seems over
	again     = 1.25                   // further factor of the bound then
	least     = 2.0                    // requests that may always run
	ample     = 3.0                    // bound over running requests from which there is none
	smooth    = 0.1                    // weight of the newest request in a moving mean
	shared    = 0.1                    // part of the running time that calls wait, from which what is called is to blame
	mostly    = 0.5                    // as above, that calls take, from which what is called may be to blame
	doubt     = 3.0                    // factor on what is tolerable in that case
	memory    = 1.0                    // seconds, of that part
)

// New returns an inflight without bounds.
func New() *Inflight { return &Inflight{rules: map[string]*rule{}} }

func (f *Inflight) get(now time.Time, name string) *rule {
	r := f.rules[name]
	if r == nil {
		r = &rule{begin: now, at: now}
		f.rules[name] = r
	}
	r.area += float64(r.running) * now.Sub(r.at).Seconds()
	r.at = now
	return r
}

func (f *Inflight) advance(now time.Time) {
	dt := now.Sub(f.at).Seconds()
	if f.at.IsZero() || dt < 0 {
		dt = 0
	}
	f.at = now
	keep := 1 / (1 + dt/memory)
	f.waited *= keep
	f.called *= keep
	f.ran = (f.ran + float64(f.runs)*dt) * keep
}

// tolerance returns the part of requests that may be late or fail. Where calls wait
// in line, what is called is to blame; where they only take most of the time, it may
// be; a server that is slow or fails by itself gains nothing from a bound.
func (f *Inflight) tolerance() float64 {
	switch {
	case f.waited > shared*f.ran:
		return tolerable
	case f.called > mostly*f.ran:
		return tolerable * doubt
	}
	return 1
}

// May tells whether a request of the rule may begin.
func (f *Inflight) May(name string) bool {
	r := f.rules[name]
	if r != nil && r.limit > 0 && float64(r.running) >= r.limit {
		r.full = true
		return false
	}
	return true
}

// Begin records that a request begins; step is how many steps it is more important
// than the least important, and aim the time that it has to end well.
func (f *Inflight) Begin(now time.Time, name string, step int, aim time.Duration) {
	f.advance(now)
	f.runs++
	r := f.get(now, name)
	r.running++
	r.step = step
	if aim <= 0 {
		return
	}
	if r.aim == 0 {
		r.aim = aim.Seconds()
	}
	r.aim += smooth * (aim.Seconds() - r.aim)
}

// End records that one has ended; bad says that it failed or was late.
func (f *Inflight) End(now time.Time, name string, bad bool) {
	f.advance(now)
	f.runs--
	r := f.get(now, name)
	r.running--
	r.ended++
	if bad {
		r.bad++
	}
	dt := now.Sub(r.begin)
	tolerance := f.tolerance()
	if r.ended < enough || dt < window || r.chance(tolerance) {
		return
	}
	r.look(dt.Seconds(), tolerance)
	r.begin, r.area, r.ended, r.bad, r.full = now, 0, 0, 0, false
}

// Called records how long a call took that a request made, and how much of that it
// waited in line or was tried in vain.
func (f *Inflight) Called(took, waited time.Duration) {
	f.called += took.Seconds()
	f.waited += waited.Seconds()
}

// chance tells whether slightly more were bad than is tolerated, of so few that
// the next ones decide.
func (r *rule) chance(tolerance float64) bool {
	allowed := r.tolerated(tolerance) * float64(r.ended)
	over := float64(r.bad) - allowed
	return over > 0 && over <= math.Sqrt(allowed) && r.ended < plenty
}

// look sets the bound anew after dt seconds.
func (r *rule) look(dt, tolerance float64) {
	mean := r.area / dt
	switch {
	case float64(r.bad) > r.tolerated(tolerance)*float64(r.ended):
		if r.limit == 0 {
			r.limit = mean
		}
		r.calm = 0
		fits := float64(r.ended) / dt * r.aim * use
		r.limit = max(least, r.limit*deepest, min(fits, r.limit*fall))
	case r.limit > 0 && r.bad > 0:
		r.calm = 0
		r.limit = r.limit*rise + more
	case r.limit > 0:
		r.limit = r.limit*rise + more
		if r.calm++; r.calm > calm {
			r.limit *= again
		}
		if r.limit > ample*mean+1 && !r.full {
			r.limit = 0
		}
	}
}

// tolerated returns the part of the rule's requests that may be late or fail.
func (r *rule) tolerated(tolerance float64) float64 {
	if tolerance >= 1 {
		return 1
	}
	return min(tolerance*math.Pow(important, float64(r.step)), most)
}

// Limit returns the bound of a rule, 0 without.
func (f *Inflight) Limit(name string) float64 {
	if r := f.rules[name]; r != nil {
		return r.limit
	}
	return 0
}
