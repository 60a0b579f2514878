// Package berylask is a holder's request for tokens.
package berylask

import (
	"berylspan/core/berylclass"
	"berylspan/core/berylspent"
)

// Ask requests Want tokens of a workspace, for calls of each class. ID is unique in the fleet. Lend says
// that the holder is in another data centre than the granter. Spent tells of
// batches granted before.
type Ask struct {
	Workspace string
	ID        uint64
	Holder    string
	Demand    float64
	Want      [berylclass.Count]float64
	Lend      bool
	Spent     []berylspent.Usage
}

// Sum returns the tokens wanted for all classes.
func (a Ask) Sum() float64 {
	n := 0.0
	for _, w := range a.Want {
		n += w
	}
	return n
}
