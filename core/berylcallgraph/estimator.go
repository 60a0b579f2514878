// Package berylcallgraph estimates which requests make which nested calls.
//
// Requests of one service can depend on different downstream services. A nested
// call does not say which request made it, but the more requests of a rule run
// at once, the more of its calls are seen. The number of calls per request is
// estimated by non-negative least squares. While requests are blocked in their
// nested calls, the estimate is frozen: nothing is learned and nothing decays.
package berylcallgraph

import (
	"math"
	"time"
)

// Estimator observes the requests that run on one backend server and the nested
// calls that the server makes. It is not safe for concurrent use.
type Estimator struct {
	rules           map[string]*rule
	sampleCalls     map[string]float64            // calls in the current sample, by call
	requestProducts map[string]map[string]float64 // decayed sums of the products of running requests, by rule and rule
	callProducts    map[string]map[string]float64 // decayed sums of the products of calls and running requests, by call and rule
	callsByRule     map[string][]string
	samplesSinceFit int
	lastEvent       time.Time
	lastSample      time.Time
	lastFit         time.Time
}

// rule holds the statistics of the requests of one rule.
type rule struct {
	running            int
	requestSeconds     float64 // summed running time in the current sample
	endedRequests      float64 // in the current sample
	meanRequestSeconds float64 // moving mean per sample
	meanEndedRequests  float64 // moving mean per sample
	unblockedSeconds   float64 // duration of a request that is not blocked
}

const (
	sampleInterval       = 250 * time.Millisecond
	sampleWeight         = 0.1   // weight of the newest sample in the moving means
	minEndedRequests     = 0.02  // mean per sample; with fewer, the duration of a request counts as unknown
	unblockedGrowth      = 1.001 // factor per sample by which the duration of unblocked requests may grow
	blockedFactor        = 1.5   // requests that take more than this multiple of the unblocked duration are blocked
	fitInterval          = time.Second
	decaySeconds         = 30.0 // time constant of the decay; after it an observation counts a third
	fitIterations        = 60   // the fit converges well before
	ridge                = 0.5  // regularization in squared requests, so that little data gives an estimate near zero
	minCallsPerRequest   = 0.05 // with fewer, a rule is not taken to make the call
	minFractionOfTopRule = 0.2  // of the calls per request of the rule that makes the most
	minFractionOfCalls   = 0.05 // of all calls of the same name; below it an estimate is mostly noise
)

// New returns an estimator without observations.
func New() *Estimator {
	return &Estimator{
		rules: map[string]*rule{}, sampleCalls: map[string]float64{},
		requestProducts: map[string]map[string]float64{}, callProducts: map[string]map[string]float64{},
		callsByRule: map[string][]string{},
	}
}

func rowOf(m map[string]map[string]float64, name string) map[string]float64 {
	r := m[name]
	if r == nil {
		r = map[string]float64{}
		m[name] = r
	}
	return r
}

func (e *Estimator) rule(name string) *rule {
	r := e.rules[name]
	if r == nil {
		r = &rule{}
		e.rules[name] = r
	}
	return r
}

// RequestStarted records that a request of the named rule began to run.
func (e *Estimator) RequestStarted(now time.Time, name string) {
	e.advance(now)
	e.rule(name).running++
}

// RequestEnded records the end of a request of the named rule.
func (e *Estimator) RequestEnded(now time.Time, name string) {
	e.advance(now)
	r := e.rule(name)
	r.running--
	r.endedRequests++
}

// CallMade records a nested call that the server made.
func (e *Estimator) CallMade(now time.Time, call string) {
	e.advance(now)
	e.sampleCalls[call]++
}

func (e *Estimator) advance(now time.Time) {
	if e.lastEvent.IsZero() {
		e.lastEvent, e.lastSample, e.lastFit = now, now, now
	}
	dt := now.Sub(e.lastEvent).Seconds()
	e.lastEvent = now
	for _, r := range e.rules {
		r.requestSeconds += float64(r.running) * dt
	}
	if now.Sub(e.lastSample) < sampleInterval {
		return
	}
	e.lastSample = now
	e.closeSample()
	if now.Sub(e.lastFit) >= fitInterval && e.samplesSinceFit > 0 {
		e.refit(math.Exp(-float64(e.samplesSinceFit) * sampleInterval.Seconds() / decaySeconds))
		e.lastFit, e.samplesSinceFit = now, 0
	}
}

// closeSample adds the current sample to the sums, unless requests are blocked.
func (e *Estimator) closeSample() {
	requests := make(map[string]float64, len(e.rules))
	blocked := false
	for name, r := range e.rules {
		r.meanRequestSeconds += sampleWeight * (r.requestSeconds - r.meanRequestSeconds)
		r.meanEndedRequests += sampleWeight * (r.endedRequests - r.meanEndedRequests)
		if r.meanEndedRequests > minEndedRequests && r.meanRequestSeconds > 0 {
			seconds := r.meanRequestSeconds / r.meanEndedRequests
			if r.unblockedSeconds == 0 {
				r.unblockedSeconds = seconds
			}
			r.unblockedSeconds = min(r.unblockedSeconds*unblockedGrowth, seconds)
			blocked = blocked || seconds > r.unblockedSeconds*blockedFactor
			requests[name] = r.requestSeconds / seconds
		} else if r.running > 0 && r.unblockedSeconds > 0 {
			blocked = true
		}
		if r.running == 0 && r.meanEndedRequests <= minEndedRequests {
			delete(e.rules, name)
		}
		r.requestSeconds, r.endedRequests = 0, 0
	}
	if blocked {
		// The number of calls no longer follows the number of running requests.
		clear(e.sampleCalls)
		return
	}
	e.samplesSinceFit++
	for rule, n := range requests {
		products := rowOf(e.requestProducts, rule)
		for other, m := range requests {
			products[other] += n * m
		}
	}
	for call, k := range e.sampleCalls {
		products := rowOf(e.callProducts, call)
		for name, n := range requests {
			products[name] += k * n
		}
	}
	clear(e.sampleCalls)
}

// decay multiplies the sums by factor and drops negligible ones.
func decay(m map[string]float64, factor float64) {
	const negligible = 1e-3
	for name := range m {
		if m[name] *= factor; m[name] < negligible {
			delete(m, name)
		}
	}
}

// refit multiplies the sums by factor and solves for the calls per request
// of every rule by coordinate descent.
func (e *Estimator) refit(factor float64) {
	for _, m := range []map[string]map[string]float64{e.requestProducts, e.callProducts} {
		for name, r := range m {
			if decay(r, factor); len(r) == 0 {
				delete(m, name)
			}
		}
	}
	clear(e.callsByRule)
	for call, products := range e.callProducts {
		fit := map[string]float64{}
		for range fitIterations {
			for rule, r := range e.requestProducts {
				residual := products[rule]
				for other, t := range r {
					if other != rule {
						residual -= t * fit[other]
					}
				}
				fit[rule] = max(0, residual/(r[rule]+ridge))
			}
		}
		e.attribute(call, fit)
	}
}

// attribute records the rules that make a call, given the calls per request of
// each rule.
func (e *Estimator) attribute(call string, fit map[string]float64) {
	maxCallsPerRequest, totalCalls := 0.0, 0.0
	for rule, n := range fit {
		maxCallsPerRequest = max(maxCallsPerRequest, n)
		totalCalls += n * math.Sqrt(e.requestProducts[rule][rule])
	}
	for rule, n := range fit {
		if n >= minCallsPerRequest && n >= maxCallsPerRequest*minFractionOfTopRule && n*math.Sqrt(e.requestProducts[rule][rule]) >= totalCalls*minFractionOfCalls {
			e.callsByRule[rule] = append(e.callsByRule[rule], call)
		}
	}
}

// CallsOf returns the calls that requests of the rule make. The result must not
// be changed.
func (e *Estimator) CallsOf(rule string) []string { return e.callsByRule[rule] }
