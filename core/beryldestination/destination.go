// Package beryldestination describes a destination of a rule that splits its requests by
// weight.
package beryldestination

// Destination is a service to which a rule sends a share of its requests. Weight is
// relative to the sum of the weights of all destinations of the rule.
type Destination struct {
	Service string
	Weight  float64
}
