// Package berylinflight limits the concurrent requests of one backend server while
// the services that they call are overloaded.
//
// When a service further down the call chain is offered more than it can run, the
// requests that wait for it keep their slots here and get later with every nested
// call. Running more of them concurrently only makes more of them late or fail,
// after work was spent on them at every level. When too many requests of a rule are
// late or fail, their concurrency is therefore limited to the observed completion
// rate times the time that a request has (Little's law), and requests above the
// limit are refused before any work is spent on them. Rules whose requests succeed
// in time have no limit.
package berylinflight

import (
	"math"
	"time"
)

// Limiter tracks the requests that begin on one backend server and holds the
// concurrency limit of each rule. It is not safe for concurrent use.
type Limiter struct {
	rules    map[string]*ruleState
	callWait float64   // decaying sum of the seconds that nested calls waited in queues
	callTime float64   // decaying sum of the seconds that nested calls took
	runTime  float64   // decaying sum of the seconds that requests ran
	updated  time.Time // time up to which the sums count
	running  int       // requests that run now, of all rules
}

// ruleState holds the limit of one rule and the observations of the current window.
// A window lasts from one adjustment of the limit to the next.
type ruleState struct {
	limit        float64 // concurrent requests; 0 means no limit
	running      int
	runTime      float64 // seconds that requests ran in this window
	windowStart  time.Time
	updated      time.Time // time up to which runTime counts
	ended        int       // requests that ended in this window
	bad          int       // those of them that failed or were late
	importance   int       // steps above the least important requests
	goodWindows  int       // consecutive windows without a failed or late request
	timeToTarget float64   // moving mean of the seconds until requests are late
	refused      bool      // whether a request was refused in this window
}

const (
	minWindow         = 250 * time.Millisecond
	minEnded          = 10   // requests that must end in a window before the limit is adjusted
	conclusiveEnded   = 60   // ended requests from which on a narrow excess of bad ones is not put down to chance
	tolerableShare    = 0.1  // fraction of the least important requests that may be late or fail before the limit is lowered
	importanceFactor  = 3.0  // multiplies tolerableShare for each step of importance, so that less important requests are limited first
	maxTolerableShare = 0.8  // upper bound of the tolerable fraction while the called services may be the cause
	targetUse         = 0.8  // fraction of their time to target that requests are planned to take
	smallestDecrease  = 0.9  // a decrease multiplies the limit by at most this
	largestDecrease   = 0.25 // a decrease multiplies the limit by at least this
	increaseFactor    = 1.1  // multiplies the limit when few requests are late or fail
	increaseStep      = 0.3  // requests, added on each increase
	recoveredWindows  = 6    // consecutive good windows after which the overload is considered over
	recoveredFactor   = 1.25 // multiplies the limit on each further increase after that
	minLimit          = 2.0  // requests that may always run
	removalFactor     = 3.0  // ratio of the limit to the mean concurrency above which the limit is removed
	smoothing         = 0.1  // weight of the newest request in a moving mean
	overloadWaitShare = 0.1  // fraction of the run time spent waiting in queues of called services above which those count as overloaded
	suspectCallShare  = 0.5  // fraction of the run time spent in nested calls above which the called services may be overloaded
	suspectFactor     = 3.0  // multiplies tolerableShare when the called services only may be overloaded
	decayTime         = 1.0  // seconds, time constant of the decaying sums
)

// New returns a limiter that has no limits yet.
func New() *Limiter { return &Limiter{rules: map[string]*ruleState{}} }

// get returns the state of a rule with its run time counted up to now.
func (l *Limiter) get(now time.Time, name string) *ruleState {
	r := l.rules[name]
	if r == nil {
		r = &ruleState{windowStart: now, updated: now}
		l.rules[name] = r
	}
	r.runTime += float64(r.running) * now.Sub(r.updated).Seconds()
	r.updated = now
	return r
}

// advance decays the sums over all rules and counts the run time up to now.
func (l *Limiter) advance(now time.Time) {
	dt := now.Sub(l.updated).Seconds()
	if l.updated.IsZero() || dt < 0 {
		dt = 0
	}
	l.updated = now
	decay := 1 / (1 + dt/decayTime)
	l.callWait *= decay
	l.callTime *= decay
	l.runTime = (l.runTime + float64(l.running)*dt) * decay
}

// tolerance returns the fraction of the least important requests that may be late or
// fail. If nested calls wait in queues, the called services are the cause; if the
// calls only take most of the run time, the called services may be the cause. A
// backend server that is slow or fails by itself gains nothing from a limit, so
// everything is tolerated.
func (l *Limiter) tolerance() float64 {
	switch {
	case l.callWait > overloadWaitShare*l.runTime:
		return tolerableShare
	case l.callTime > suspectCallShare*l.runTime:
		return tolerableShare * suspectFactor
	}
	return 1
}

// Allow reports whether a request of the rule may begin.
func (l *Limiter) Allow(name string) bool {
	r := l.rules[name]
	if r != nil && r.limit > 0 && float64(r.running) >= r.limit {
		r.refused = true
		return false
	}
	return true
}

// Begin records that a request begins. importance is the number of steps by which it
// is more important than the least important requests. timeToTarget is the time
// until it is late.
func (l *Limiter) Begin(now time.Time, name string, importance int, timeToTarget time.Duration) {
	l.advance(now)
	l.running++
	r := l.get(now, name)
	r.running++
	r.importance = importance
	if timeToTarget <= 0 {
		return
	}
	if r.timeToTarget == 0 {
		r.timeToTarget = timeToTarget.Seconds()
	}
	r.timeToTarget += smoothing * (timeToTarget.Seconds() - r.timeToTarget)
}

// End records that a request has ended. bad is set if it failed or was late.
func (l *Limiter) End(now time.Time, name string, bad bool) {
	l.advance(now)
	l.running--
	r := l.get(now, name)
	r.running--
	r.ended++
	if bad {
		r.bad++
	}
	dt := now.Sub(r.windowStart)
	tolerance := l.tolerance()
	if r.ended < minEnded || dt < minWindow || r.inconclusive(tolerance) {
		return
	}
	r.adjust(dt.Seconds(), tolerance)
	r.windowStart, r.runTime, r.ended, r.bad, r.refused = now, 0, 0, 0, false
}

// RecordCall records how long a nested call took and how much of that it waited in
// queues or was spent on failed attempts.
func (l *Limiter) RecordCall(took, waited time.Duration) {
	l.callTime += took.Seconds()
	l.callWait += waited.Seconds()
}

// inconclusive reports whether slightly more requests were bad than is tolerated, but
// so few have ended that the excess may be chance. The window then continues.
func (r *ruleState) inconclusive(tolerance float64) bool {
	allowed := r.tolerableShare(tolerance) * float64(r.ended)
	excess := float64(r.bad) - allowed
	return excess > 0 && excess <= math.Sqrt(allowed) && r.ended < conclusiveEnded
}

// adjust sets the limit at the end of a window of dt seconds.
func (r *ruleState) adjust(dt, tolerance float64) {
	meanRunning := r.runTime / dt
	switch {
	case float64(r.bad) > r.tolerableShare(tolerance)*float64(r.ended):
		if r.limit == 0 {
			r.limit = meanRunning
		}
		r.goodWindows = 0
		sustainable := float64(r.ended) / dt * r.timeToTarget * targetUse
		r.limit = max(minLimit, r.limit*largestDecrease, min(sustainable, r.limit*smallestDecrease))
	case r.limit > 0 && r.bad > 0:
		r.goodWindows = 0
		r.limit = r.limit*increaseFactor + increaseStep
	case r.limit > 0:
		r.limit = r.limit*increaseFactor + increaseStep
		if r.goodWindows++; r.goodWindows > recoveredWindows {
			r.limit *= recoveredFactor
		}
		if r.limit > removalFactor*meanRunning+1 && !r.refused {
			r.limit = 0
		}
	}
}

// tolerableShare returns the fraction of the rule's requests that may be late or fail.
func (r *ruleState) tolerableShare(tolerance float64) float64 {
	if tolerance >= 1 {
		return 1
	}
	return min(tolerance*math.Pow(importanceFactor, float64(r.importance)), maxTolerableShare)
}

// Limit returns the concurrency limit of a rule, or 0 if it has none.
func (l *Limiter) Limit(name string) float64 {
	if r := l.rules[name]; r != nil {
		return r.limit
	}
	return 0
}
