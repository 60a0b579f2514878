// Package berylaccount describes the rate limit and the priority of a workspace.
package berylaccount

// Account holds the limits of a workspace. Rate, in requests per second, and Burst,
// in requests, apply to the whole fleet; a Rate of 0 means no limit. If HasPriority
// is set, requests are ordered by Priority first, 0 being the most important, and by
// the priority of their rule second. Requests may run in the named Regions only, in all if
// none is named.
type Account struct {
	Workspace   string
	HasPriority bool
	Priority    int
	Rate        float64
	Burst       float64
	Regions     []string
}
