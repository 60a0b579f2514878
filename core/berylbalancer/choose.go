// Package berylbalancer chooses the instance that a call is sent to: the better of two
// random candidates, in the own data centre unless calls wait too long there.
package berylbalancer

import (
	"time"

	"berylspan/core/berylload"
)

// Candidate is an instance that could take a call. OtherZone says that it is in
// another data centre, Cold that it started after the daemon that chooses.
type Candidate struct {
	ID        string
	OtherZone bool
	Cold      bool
	Load      berylload.Load
}

// SlowStart is how long a cold instance gets less than its share of calls.
const SlowStart = 5 * time.Second

// reportTTL is how long the admission level and waits that an instance reported
// are used.
const reportTTL = 500 * time.Millisecond

// A call goes to another data centre when it would wait at least spillThreshold in
// the own one, and more than crossZoneCost less in the other.
const (
	spillThreshold = 40 * time.Millisecond
	crossZoneCost  = 30 * time.Millisecond
)

// defaultLatency is assumed for an instance whose latency is unknown, and is the
// least that is assumed for any other.
const defaultLatency = time.Millisecond

// Choose returns the index of the better of two random candidates, own data centre
// first unless calls wait there, and -1 when there is none. Candidates that fail or
// would refuse the call are chosen only when no others are left, those in tried
// never. Random returns a number below n.
func Choose(now time.Time, cs []Candidate, order float64, tried map[string]bool, random func(n int) int) int {
	for tier := range 4 {
		i := betterOfTwo(now, cs, order, random, eligible(now, cs, order, tried, tier))
		if i < 0 {
			continue
		}
		if tier > 0 || reportedWait(now, cs[i], order) < spillThreshold {
			return i
		}
		j := betterOfTwo(now, cs, order, random, eligible(now, cs, order, tried, 1))
		if reportedWait(now, cs[j], order)+crossZoneCost < reportedWait(now, cs[i], order) {
			return j
		}
		return i
	}
	return -1
}

// reportedWait returns how long a call of this order would wait at the instance
// according to its last report, 0 when that is too old.
func reportedWait(now time.Time, c Candidate, order float64) time.Duration {
	if now.Sub(c.Load.ReportedAt) > reportTTL {
		return 0
	}
	class := min(max(int(order), 0), len(c.Load.Wait)-1)
	return c.Load.Wait[class]
}

// eligible returns the indexes of the untried candidates of a tier:
//   - 0: own data centre, not failing, admits the call
//   - 1: any data centre, not failing, admits the call
//   - 2: own data centre, not failing
//   - 3: all
func eligible(now time.Time, cs []Candidate, order float64, tried map[string]bool, tier int) []int {
	var out []int
	for i, c := range cs {
		failing := now.Before(c.Load.AvoidUntil)
		refuses := order > c.Load.Level && now.Sub(c.Load.ReportedAt) < reportTTL
		ok := !tried[c.ID]
		switch tier {
		case 0:
			ok = ok && !c.OtherZone && !failing && !refuses
		case 1:
			ok = ok && !failing && !refuses
		case 2:
			ok = ok && !c.OtherZone && !failing
		}
		if ok {
			out = append(out, i)
		}
	}
	return out
}

// betterOfTwo draws two of the given candidates at random and returns the one with
// the lower score, -1 when there are none.
func betterOfTwo(now time.Time, cs []Candidate, order float64, random func(n int) int, indexes []int) int {
	switch len(indexes) {
	case 0:
		return -1
	case 1:
		return indexes[0]
	}
	a := random(len(indexes))
	b := random(len(indexes) - 1)
	if b >= a {
		b++
	}
	if score(now, cs[indexes[b]], order) < score(now, cs[indexes[a]], order) {
		return indexes[b]
	}
	return indexes[a]
}

// score estimates how long the call would take, in seconds. The score of a cold
// instance is raised, most for the youngest (slow start).
func score(now time.Time, c Candidate, order float64) float64 {
	lat := max(c.Load.Latency, defaultLatency)
	s := float64(c.Load.Inflight+1)*lat.Seconds() + reportedWait(now, c, order).Seconds()
	if age := now.Sub(c.Load.FirstSeen); c.Cold && age < SlowStart {
		s *= float64(SlowStart) / float64(max(age, SlowStart/20))
	}
	return s
}
