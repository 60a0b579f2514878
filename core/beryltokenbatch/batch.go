// Package beryltokenbatch is the answer to a request for tokens.
package beryltokenbatch

import "time"

// Batch is a grant of tokens, which expire TTL after the moment at which they
// were requested. ID is that of the request. FleetDemand is the workspace's call
// rate over the whole fleet, in calls per second, as far as the granter knows.
type Batch struct {
	ID          uint64
	Tokens      float64
	TTL         time.Duration
	FleetDemand float64
}
