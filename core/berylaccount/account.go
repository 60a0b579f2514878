// Package berylaccount describes what a workspace may use.
package berylaccount

// Account is a workspace with its limits. Rate is in requests per second over
// the whole fleet, 0 without a limit; Burst in requests. Rank goes before the
// rank of the rule when Ranked is set.
type Account struct {
	Workspace string
	Ranked    bool
	Rank      int
	Rate      float64
	Burst     float64
}
