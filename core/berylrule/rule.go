// Package berylrule describes the rules by which HTTP requests are routed.
package berylrule

import (
	"time"

	"berylspan/core/beryldestination"
)

// Rule applies to requests for a host and path prefix and says which services they
// go to. Requests of an idempotent rule may be executed more than once, all others
// at most once. Timeout bounds how long a caller waits for its answer, 0 for no
// bound. An answer within TargetLatency has its full value to the caller. Priority
// 0 is the most important. MaxAttempts bounds how many backend servers are sent a
// request. Requests of a rule that is exempt from authentication need no API key. Requests
// may run in the named Regions only, in all if none is named.
type Rule struct {
	Name          string
	Host          string
	PathPrefix    string
	Idempotent    bool
	Timeout       time.Duration
	TargetLatency time.Duration
	Priority      int
	MaxAttempts   int
	AuthExempt    bool
	Regions       []string
	Destinations  []beryldestination.Destination
}
