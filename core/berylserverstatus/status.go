// Package berylserverstatus describes what a backend server says about itself in the
// header of its answers.
//
// A server that cannot keep up names the request rate that it accepts, and one that shuts
// down says that it is leaving. Both reach the fleet before, and possibly without, a change
// of the published list.
package berylserverstatus

import (
	"math"
	"strconv"

	"github.com/rotisserie/eris"
)

// Status is what one answer says about the server that sent it.
type Status struct {
	Limited bool    // the server names a limit
	Limit   float64 // requests per second that the server accepts from the whole fleet, valid if Limited is set
	Leaving bool    // the server is shutting down
}

const leavingValue = "1"

// Parse returns the status that the values of the two header fields describe. An empty
// value stands for a field that is absent. It returns an error if the limit is not a
// finite decimal number of at least 0.
func Parse(limit, leaving string) (Status, error) {
	s := Status{Leaving: leaving == leavingValue}
	if limit == "" {
		return s, nil
	}
	n, err := strconv.ParseFloat(limit, 64)
	if err != nil || math.IsNaN(n) || math.IsInf(n, 0) || n < 0 {
		return s, eris.Errorf("server limit %q is not a number of requests per second", limit)
	}
	s.Limited, s.Limit = true, n
	return s, nil
}

// Update returns the status after an answer that describes next. complete tells whether the
// absence of a limit means that there is none; a server that is leaving does not come back.
func (s Status) Update(next Status, complete bool) Status {
	if !next.Limited && !complete {
		next.Limited, next.Limit = s.Limited, s.Limit
	}
	next.Leaving = next.Leaving || s.Leaving
	return next
}
