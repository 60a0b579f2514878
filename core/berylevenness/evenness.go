// Package berylevenness measures how evenly the load of a service is spread over its servers.
package berylevenness

import (
	"math"

	"berylspan/core/berylplacement"
)

// Evenness is that of the servers of one service in the own data centre.
type Evenness struct {
	Spread          float64 // standard deviation of the utilisation of the servers: requests that run or wait per slot
	IdleWhileQueued float64 // slots that are free at some servers while as many requests wait at others
}

// Measure returns the evenness of candidates as their last reports show it. Servers whose load is
// not known and those of other data centres don't count. ok is false if fewer than two count.
func Measure(cs []berylplacement.Candidate) (e Evenness, ok bool) {
	n, sum, squares, free, waiting := 0.0, 0.0, 0.0, 0.0, 0.0
	for i := range cs {
		c := &cs[i]
		if c.OtherZone || c.Excluded || c.Age == berylplacement.UnknownAge || c.Limit <= 0 {
			continue
		}
		u := c.Busy / c.Limit
		n, sum, squares = n+1, sum+u, squares+u*u
		free += max(c.Limit-c.Busy, 0)
		waiting += max(c.Busy-c.Limit, 0)
	}
	if n < 2 {
		return Evenness{}, false
	}
	mean := sum / n
	return Evenness{Spread: math.Sqrt(max(squares/n-mean*mean, 0)), IdleWhileQueued: min(free, waiting)}, true
}
