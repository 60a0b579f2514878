// Package berylcall describes a call that daemons forward to a backend server.
package berylcall

import (
	"time"

	"berylspan/core/berylclass"
	"berylspan/core/berylroute"
)

// Call is a call as seen by one daemon. A root call is not made on behalf of another
// call; the nested calls below it share its ID, Workspace, Class and Rank.
//
// Class is that of the root call's route. Rank orders calls within a class, lower first,
// and is set once per root call. RetriesLeft is the number of retries that the call and
// all calls below it may still use. Hops is the number of services above this one in the
// call chain. StartBy is the latest time at which a backend server may begin the call.
// StartBy and Deadline are zero if there is no such limit.
type Call struct {
	ID             string
	Workspace      string
	Route          *berylroute.Route
	Class          berylclass.Class
	Rank           float64
	RetriesLeft    int
	Hops           int
	StartBy        time.Time
	Deadline       time.Time
	IdempotencyKey string
}

// Order returns the position of the call among all calls; lower is more important.
func (c *Call) Order() float64 { return Order(int(c.Class), c.Rank) }

// Order combines a class and a rank of 0 or more into one number: the class plus the
// rank mapped to the range from 0 to 1.
func Order(class int, rank float64) float64 {
	return float64(class) + rank/(1+rank)
}
