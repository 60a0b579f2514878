// Package berylzone describes a data centre.
package berylzone

// Zone is a data centre. Weight is its share of the rate and burst of every
// workspace, relative to the sum of the weights of all zones.
type Zone struct {
	Name   string
	Weight float64
}
