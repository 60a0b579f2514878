// Package berylplacement chooses the instance that runs a request.
//
// Load pattern: many instances send to the same servers, each knows their load as it was a
// fraction of a second ago, and the servers differ in speed. If every instance chose the server
// that looks best, all would choose the same one until the next report, and servers would be
// overrun in turns while others idle.
//
// Choose therefore interprets a reported load by its age (Dahlin, "Interpreting Stale Load
// Information", 1999): of the requests that a server had, some have ended since, and as many
// have been sent to the servers by all instances together. It spreads these over the servers as
// if each had gone to the least utilised one, and returns a server at random, in proportion to
// what it gets of them. With new reports that is the least utilised server, with old ones each
// server's share of the room.
package berylplacement

import (
	"math"
	"slices"
)

// Candidate is an instance that could run the request.
type Candidate struct {
	Busy        float64 // requests that run or wait there: those reported and what this instance has sent since
	Own         float64 // requests of this instance among them
	Age         float64 // seconds since the load was reported; UnknownAge without a report
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

// UnknownAge is the Age of a load that was not reported.
const UnknownAge = -1

// CrossZoneCost and CrossRegionCost are the times, in seconds, that stand for the traffic and
// latency to another data centre of the own region and of another one.
const (
	CrossZoneCost   = 0.06
	CrossRegionCost = 0.12
)

// Costs are added to the estimates, in seconds.
type Costs struct {
	CrossZone   float64 // for an instance in another data centre; see CrossZoneCost
	CrossRegion float64 // for an instance in another region; see CrossRegionCost
}

const (
	defaultServiceTime = 0.05  // seconds; used when no candidate's service time is known
	coldFactor         = 2     // multiplies the service time of a server that started recently
	transitTime        = 0.005 // seconds that a report and a request are on their way, added to the age of the report
	suspectPenalty     = 30    // seconds added for a suspect instance
	idleMaxSlowness    = 3     // times the mean service time; an instance that is not slower gets a request when idle, so that its measurements are refreshed
	fillSteps          = 14    // bisections to find the level; its error is then below a ten-thousandth of the range

	// Requests at a slow server wait longer for their answer. Machines differ in speed: a server
	// that takes up to slowFactor times the mean service time gets less work than its share of
	// the slots. At twice the mean its utilisation stays 0.67 below that of the others, as long as
	// these have room. One that takes longer is disturbed, and what it takes beyond that counts
	// like a queue.
	slownessWeight = 0.1
	slowFactor     = 2
)

// The time that a request takes at a utilisation, in service times, is a line through these
// points. Above kneeUtilisation servers begin to slow down, and requests that arrive together
// find no free slot. At a full server a request waits one service time for each limit of
// requests that are ahead of it.
const (
	idleTime        = 1.0
	kneeUtilisation = 0.85
	kneeTime        = 1.1275
	fullTime        = 1.45
	freeSlope       = (kneeTime - idleTime) / kneeUtilisation
	kneeSlope       = (fullTime - kneeTime) / (1 - kneeUtilisation)
)

// timeAt returns the time that a request takes at a utilisation, in service times.
func timeAt(utilisation float64) float64 {
	switch {
	case utilisation >= 1:
		return fullTime + utilisation - 1
	case utilisation >= kneeUtilisation:
		return kneeTime + (utilisation-kneeUtilisation)*kneeSlope
	}
	return idleTime + utilisation*freeSlope
}

// utilisationAt is the inverse of timeAt. It returns 0 for times below that at an idle server.
func utilisationAt(t float64) float64 {
	switch {
	case t >= fullTime:
		return 1 + t - fullTime
	case t >= kneeTime:
		return kneeUtilisation + (t-kneeTime)/kneeSlope
	}
	return max(0, (t-idleTime)/freeSlope)
}

// Chooser chooses among candidates. It keeps its memory from one choice to the next and is not
// safe for concurrent use.
type Chooser struct {
	servers   []server
	home      int     // distance of the nearest servers
	near, far float64 // mean service times in seconds of the servers there and of all others
}

// server is a candidate that is not excluded.
type server struct {
	index     int
	limit     float64
	remaining float64 // requests of its reported load that are still there
	window    float64 // seconds; requests that arrived at a constant rate since the report number rate times window now
	offset    float64 // added to the time on the curve
}

// Choose returns the index of a candidate for the next request and the time that it is expected
// to take there in seconds, or -1 when all are excluded. Random returns a number in [0,1).
func (ch *Chooser) Choose(cs []Candidate, costs Costs, random func() float64) (chosen int, expected float64) {
	mean := ch.measure(cs)
	newer := ch.interpret(cs, costs)
	if len(ch.servers) == 0 {
		return -1, 0
	}
	if s := ch.idle(cs, mean); s != nil {
		return s.index, mean * s.timeAt(s.remaining+1)
	}
	level := ch.fill(newer)
	sum := 0.0
	for i := range ch.servers {
		sum += ch.servers[i].rateTo(level)
	}
	point := random() * sum
	best := &ch.servers[0]
	for i := range ch.servers {
		s := &ch.servers[i]
		r := s.rateTo(level)
		if r <= 0 {
			continue
		}
		best = s
		if point -= r; point < 0 {
			break
		}
	}
	return best.index, mean * level
}

// Prospect is what a candidate can expect of the next requests.
type Prospect struct {
	Share    float64 // probability that it is chosen
	Expected float64 // seconds that a request is expected to take there, costs included
}

// Prospects returns the prospect of each candidate, the zero value for excluded ones.
func (ch *Chooser) Prospects(cs []Candidate, costs Costs) []Prospect {
	out := make([]Prospect, len(cs))
	mean := ch.measure(cs)
	newer := ch.interpret(cs, costs)
	if len(ch.servers) == 0 {
		return out
	}
	level := ch.fill(newer)
	sum := 0.0
	for i := range ch.servers {
		sum += ch.servers[i].rateTo(level)
	}
	idle := ch.idle(cs, mean)
	for i := range ch.servers {
		s := &ch.servers[i]
		p := &out[s.index]
		p.Expected = mean * max(level, s.timeAt(s.remaining))
		if idle == nil {
			p.Share = s.rateTo(level) / sum
		} else if s == idle {
			p.Share = 1
		}
	}
	return out
}

// idle returns the first server that gets a request because it is idle, nil without one.
func (ch *Chooser) idle(cs []Candidate, mean float64) *server {
	for i := range ch.servers {
		s := &ch.servers[i]
		if c := &cs[s.index]; c.Idle && !c.OtherZone && !c.Suspect && s.remaining < s.limit && serviceTime(c, mean) < idleMaxSlowness*mean {
			return s
		}
	}
	return nil
}

// interpret sets the servers to choose from and returns how many requests have taken the places of
// those that ended at the nearest servers since these reported, and the one to be placed.
func (ch *Chooser) interpret(cs []Candidate, costs Costs) (newer float64) {
	utilisation := meanUtilisation(cs, ch.home)
	ch.servers = ch.servers[:0]
	newer = 1
	for i := range cs {
		c := &cs[i]
		if c.Excluded {
			continue
		}
		mean := ch.near
		if c.distance() != ch.home {
			mean = ch.far
		}
		t := serviceTime(c, mean)
		s := server{index: i, limit: max(c.Limit, 1), remaining: c.Busy, offset: slowness(t/mean) + mean/ch.near - 1}
		left, busy := s.age(c, t), c.Busy
		if c.Age == UnknownAge {
			busy = max(busy, utilisation*s.limit)
		}
		if c.distance() == ch.home && busy > 0 {
			// Servers further away have instances of their own that send there, so what ended
			// there is not replaced by what is sent from here.
			others := max(busy-c.Own, 0) / busy
			s.remaining = c.Own + others*left
			newer += others * (busy - left)
		}
		switch {
		case c.OtherRegion:
			s.offset += costs.CrossRegion / ch.near
		case c.OtherZone:
			s.offset += costs.CrossZone / ch.near
		}
		if c.Suspect {
			s.offset += suspectPenalty / ch.near
		}
		ch.servers = append(ch.servers, s)
	}
	return newer
}

// slowness returns how many service times a request is worth waiting for a server of mean speed
// rather than running on one that takes factor times as long.
func slowness(factor float64) float64 {
	return slownessWeight*(factor-1) + max(factor-slowFactor, 0)
}

// age sets the window of the server and returns how many of the requests that it had when its
// load was reported are still there. t is its service time.
func (s *server) age(c *Candidate, t float64) (left float64) {
	if c.Age == UnknownAge {
		s.window = t
		return 0
	}
	age := c.Age + transitTime
	queue := max(c.Busy-s.limit, 0)
	drain := queue * t / s.limit // seconds until the queue has started
	if age < drain {
		s.window = age
		return c.Busy - age*s.limit/t
	}
	part := math.Exp(-(age - drain) / t)
	s.window = drain*part + t*(1-part)
	return (c.Busy - queue) * part
}

// fill returns the time up to which n requests fill the servers if each goes to the one with the
// lowest time.
func (ch *Chooser) fill(n float64) (level float64) {
	low, high := math.Inf(1), math.Inf(1)
	for i := range ch.servers {
		s := &ch.servers[i]
		low = min(low, s.timeAt(s.remaining))
		high = min(high, s.timeAt(s.remaining+n)) // One server alone could take them all.
	}
	for range fillSteps {
		level = (low + high) / 2
		sum := 0.0
		for i := range ch.servers {
			sum += ch.servers[i].roomTo(level)
		}
		if sum < n {
			low = level
		} else {
			high = level
		}
	}
	return high
}

// roomTo returns how many requests beyond the remaining ones fill the server up to a level.
func (s *server) roomTo(level float64) float64 {
	return max(0, utilisationAt(level-s.offset)*s.limit-s.remaining)
}

// rateTo returns the rate per second at which requests fill the server up to a level.
func (s *server) rateTo(level float64) float64 { return s.roomTo(level) / s.window }

// timeAt returns the time that a request takes at the server with the given number of requests.
func (s *server) timeAt(busy float64) float64 { return timeAt(busy/s.limit) + s.offset }

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

// measure sets where the nearest servers are and the mean service times, and returns that of the
// nearest ones. Means are harmonic: those of servers of mean speed.
func (ch *Chooser) measure(cs []Candidate) (near float64) {
	ch.home = nearest(cs)
	nearSum, nearCount, farSum, farCount := 0.0, 0.0, 0.0, 0.0
	for i := range cs {
		switch c := &cs[i]; {
		case c.ServiceTime <= 0 || c.Excluded || c.Suspect:
		case c.distance() == ch.home:
			nearSum += 1 / c.ServiceTime
			nearCount++
		default:
			farSum += 1 / c.ServiceTime
			farCount++
		}
	}
	ch.near, ch.far = defaultServiceTime, defaultServiceTime
	switch {
	case nearCount > 0 && farCount > 0:
		ch.near, ch.far = nearCount/nearSum, farCount/farSum
	case nearCount > 0:
		ch.near, ch.far = nearCount/nearSum, nearCount/nearSum
	case farCount > 0:
		ch.near, ch.far = farCount/farSum, farCount/farSum
	}
	return ch.near
}

// distance is 0 in the own data centre, 1 in another one of the own region and 2 in another region.
func (c *Candidate) distance() int {
	switch {
	case c.OtherRegion:
		return 2
	case c.OtherZone:
		return 1
	}
	return 0
}

// nearest returns the least distance of a candidate that is not excluded and, if there is one, not
// suspect: where the requests of the instances here go unless they find no room.
func nearest(cs []Candidate) int {
	least, leastSuspect := math.MaxInt, math.MaxInt
	for i := range cs {
		switch c := &cs[i]; {
		case c.Excluded:
		case c.Suspect:
			leastSuspect = min(leastSuspect, c.distance())
		default:
			least = min(least, c.distance())
		}
	}
	if least == math.MaxInt {
		return leastSuspect
	}
	return least
}

// meanUtilisation returns the utilisation of the servers at a distance whose load is known.
func meanUtilisation(cs []Candidate, home int) float64 {
	busy, limit := 0.0, 1.0
	for i := range cs {
		if c := &cs[i]; c.distance() == home && c.Age != UnknownAge {
			busy += c.Busy
			limit += c.Limit
		}
	}
	return busy / limit
}

func serviceTime(c *Candidate, mean float64) float64 {
	t := c.ServiceTime
	if t <= 0 {
		t = mean
	}
	if c.Cold {
		t *= coldFactor
	}
	return t
}
