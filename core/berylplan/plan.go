// Package berylplan describes the plans that workspaces are on: their rate limits
// and the routes they may call.
package berylplan

import "strings"

// Plan limits each workspace that is on it. Rate, in calls per second, and Burst, in
// calls, apply to the whole fleet. Routes holds paths; one that ends in /* matches
// every method of a service.
type Plan struct {
	Name   string
	Rate   float64
	Burst  float64
	Routes []string
}

// Allows reports whether the plan includes the route at path.
func (p *Plan) Allows(path string) bool {
	for _, r := range p.Routes {
		if r == path {
			return true
		}
		if prefix, ok := strings.CutSuffix(r, "*"); ok && strings.HasPrefix(path, prefix) {
			return true
		}
	}
	return false
}
