package beryltracker

import (
	"math"
	"time"
)

// slowdown is how long work takes on a server relative to usual, as the server says. A part of it
// lasts, the speed of its machine, and a part changes several times a second, the load of others
// there. The zero value stands for a server that has not said anything.
type slowdown struct {
	last, mean float64
	lastAt     time.Time
	reports    int
}

const (
	slowdownDecay      = 250 * time.Millisecond // in which a slowdown approaches its mean
	slowdownMeanWeight = 0.02                   // least weight of the newest report in the mean
)

// report records a slowdown. 0 stands for unknown and is ignored.
func (s *slowdown) report(now time.Time, value float64) {
	if value <= 0 {
		return
	}
	s.reports++
	s.mean += max(1/float64(s.reports), slowdownMeanWeight) * (value - s.mean)
	s.last, s.lastAt = value, now
}

// at returns the slowdown that is expected at a time, 1 when unknown.
func (s *slowdown) at(now time.Time) float64 {
	if s.reports == 0 {
		return 1
	}
	age := max(now.Sub(s.lastAt), 0)
	return s.mean + (s.last-s.mean)*math.Exp(-age.Seconds()/slowdownDecay.Seconds())
}
