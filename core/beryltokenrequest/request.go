// Package beryltokenrequest is a daemon's request for tokens.
package beryltokenrequest

import (
	"berylspan/core/berylclass"
	"berylspan/core/beryltokenusage"
)

// Request asks for Want tokens of a workspace, for the calls of each class. ID is
// unique in the fleet. Requester is the daemon, filled in by the receiver. Demand
// is the rate, in calls per second, at which the workspace calls the daemon.
// Remote means that the daemon is in another data centre than the granter. Usage
// reports on batches granted before.
type Request struct {
	Workspace string
	ID        uint64
	Requester string
	Demand    float64
	Want      [berylclass.Count]float64
	Remote    bool
	Usage     []beryltokenusage.Usage
}

// TotalTokens returns the tokens requested for all classes.
func (r Request) TotalTokens() float64 {
	sum := 0.0
	for _, w := range r.Want {
		sum += w
	}
	return sum
}
