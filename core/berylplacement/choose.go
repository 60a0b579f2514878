// Package berylplacement chooses the instance that runs a request.
//
// Servers differ in speed, distant servers add latency, requests wait at full
// servers, and load data is a fraction of a second old. Choose therefore estimates
// how long the request would take at each candidate and returns the one with the
// lowest estimate.
package berylplacement

import "slices"

// Candidate is an instance that could run the request.
type Candidate struct {
	Busy        float64 // requests that run or wait there
	Limit       float64 // concurrency limit
	ServiceTime float64 // seconds that a request runs, 0 when unknown
	OtherZone   bool    // in another data centre
	OtherRegion bool    // in another region; OtherZone is then set too
	Cold        bool    // started recently
	Suspect     bool    // recent requests to it failed
	Throttled   bool    // recently refused new requests of the rule
	Idle        bool    // this instance has not sent it a request for a while
	Excluded    bool    // must not be chosen
}

// CrossZoneCost is the time, in seconds, that stands for the traffic and latency to
// another data centre.
const CrossZoneCost = 0.06

// Costs are added to the estimates, in seconds.
type Costs struct {
	CrossZone float64 // for an instance in another data centre; see CrossZoneCost
}

const (
	defaultServiceTime = 0.05 // seconds; used when no candidate's service time is known
	coldFactor         = 2    // multiplies the service time of a server that started recently
	slowdownThreshold  = 0.85 // utilisation from which a server is assumed to slow down
	slowdownPenalty    = 0.3  // relative increase of the service time at full utilisation
	utilisationPenalty = 0.15 // as above, but in proportion to utilisation, to spread load evenly
	idleFactor         = 0.3  // multiplies the estimate of an idle instance, so that it gets a request and its measurements are refreshed
	suspectPenalty     = 30   // seconds added for a suspect instance
)

// Choose returns the index of the best candidate and the estimated time there in
// seconds, or -1 when all are excluded. Random returns a number in [0,1).
func Choose(cs []Candidate, costs Costs, random func() float64) (best int, expected float64) {
	best = -1
	mean := meanServiceTime(cs)
	for i, c := range cs {
		if c.Excluded {
			continue
		}
		// A few per cent of jitter keep instances with the same load data
		// from all choosing the same server.
		t := cost(c, costs, mean) * (1 + 0.06*random())
		if best < 0 || t < expected {
			best, expected = i, t
		}
	}
	return best, expected
}

// ExcludeThrottled excludes throttled candidates and, when the own data centre has
// any candidates, all those in other data centres: they depend on the same
// overloaded service, so a request would only travel further to be refused.
func ExcludeThrottled(cs []Candidate) {
	local := slices.ContainsFunc(cs, func(c Candidate) bool { return !c.OtherZone })
	for i := range cs {
		if cs[i].Throttled || (cs[i].OtherZone && local) {
			cs[i].Excluded = true
		}
	}
}

func meanServiceTime(cs []Candidate) float64 {
	sum, n := 0.0, 0
	for _, c := range cs {
		if c.ServiceTime > 0 {
			sum += c.ServiceTime
			n++
		}
	}
	if n == 0 {
		return defaultServiceTime
	}
	return sum / float64(n)
}

func cost(c Candidate, costs Costs, mean float64) float64 {
	serviceTime := c.ServiceTime
	if serviceTime <= 0 {
		serviceTime = mean
	}
	if c.Cold {
		serviceTime *= coldFactor
	}
	limit := max(c.Limit, 1)
	utilisation := (c.Busy + 1) / limit
	t := serviceTime * (1 + utilisationPenalty*min(utilisation, 1))
	if utilisation > slowdownThreshold {
		t += serviceTime * slowdownPenalty * min((utilisation-slowdownThreshold)/(1-slowdownThreshold), 1)
	}
	if utilisation > 1 {
		t += serviceTime * (utilisation - 1)
	}
	if c.OtherZone {
		t += costs.CrossZone
	} else if c.Idle && utilisation <= 1 {
		t *= idleFactor
	}
	if c.Suspect {
		t += suspectPenalty
	}
	return t
}
