// Package berylpart describes one target of a route that is split by weight.
package berylpart

// Part is a service with its weight among the parts of a rule.
type Part struct {
	Service string
	Weight  float64
}
