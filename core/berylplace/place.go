// Package berylplace chooses the instance that runs a request.
//
// It answers uneven servers under load: speeds differ, a slow or distant server
// costs time, a full one makes requests wait, and what is known of load is a
// fraction of a second old. Each candidate is given the time that the request
// would take there; the least wins.
package berylplace

import "slices"

// Candidate is an instance that could run the request. Busy counts the requests
// that run or wait there, in requests; Limit how many run at once; Hold is how
// long one takes, in seconds, 0 when unknown. Far instances are in another data
// centre. Distrust says that recent requests to it failed,
// Bound that it just held back new work of the rule, Idle that nothing was sent to
// it from here for a while.
type Candidate struct {
	Busy     float64
	Limit    float64
	Hold     float64
	Far      bool
	Cold     bool
	Distrust bool
	Bound    bool
	Idle     bool
	Tried    bool
}

// FarCost stands for the bytes and delay of another data centre, in seconds.
const FarCost = 0.06

// Costs are in seconds.
type Costs struct {
	Far float64 // of another data centre, in place of its bytes and delay
}

const (
	unknownHold = 0.05 // seconds; of an instance that nothing is known of
	coldHold    = 2    // factor on the time of a server that has just started
	crowded     = 0.85 // part of the limit from which a server is taken to slow down
	crowdCost   = 0.3  // factor on the time of a server that runs at its limit, less one
	evenCost    = 0.15 // as above, in proportion to its use, so that servers are used alike
	idleFactor  = 0.3  // on the time of an instance that has not been used for a while, so that what is known of it gets renewed
	distrustful = 30   // seconds added to an instance that failed lately
)

// Choose returns the index of the best candidate and the time expected there in
// seconds, or -1 when every one was tried. Random returns a number in [0,1).
func Choose(cs []Candidate, costs Costs, random func() float64) (best int, expect float64) {
	best = -1
	mean := meanHold(cs)
	for i, c := range cs {
		if c.Tried {
			continue
		}
		// A few per cent at random keep instances with equal knowledge from
		// all choosing the same server.
		t := cost(c, costs, mean) * (1 + 0.06*random())
		if best < 0 || t < expect {
			best, expect = i, t
		}
	}
	return best, expect
}

// Withhold takes as tried those that hold back new work and, where the own data
// centre has any, those of others: what is overloaded lies behind all of them
// alike, so a request would only travel further to be refused.
func Withhold(cs []Candidate) {
	near := slices.ContainsFunc(cs, func(c Candidate) bool { return !c.Far })
	for i := range cs {
		if cs[i].Bound || (cs[i].Far && near) {
			cs[i].Tried = true
		}
	}
}

func meanHold(cs []Candidate) float64 {
	sum, n := 0.0, 0
	for _, c := range cs {
		if c.Hold > 0 {
			sum += c.Hold
			n++
		}
	}
	if n == 0 {
		return unknownHold
	}
	return sum / float64(n)
}

func cost(c Candidate, costs Costs, mean float64) float64 {
	hold := c.Hold
	if hold <= 0 {
		hold = mean
	}
	if c.Cold {
		hold *= coldHold
	}
	limit := max(c.Limit, 1)
	use := (c.Busy + 1) / limit
	t := hold * (1 + evenCost*min(use, 1))
	if use > crowded {
		t += hold * crowdCost * min((use-crowded)/(1-crowded), 1)
	}
	if use > 1 {
		t += hold * (use - 1)
	}
	if c.Far {
		t += costs.Far
	} else if c.Idle && use <= 1 {
		t *= idleFactor
	}
	if c.Distrust {
		t += distrustful
	}
	return t
}
