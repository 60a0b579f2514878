// Package berylreserve keeps back the parts of a rate that instances use which
// cannot be heard.
//
// It answers a partition while demand changes: each side sees its own demand
// grow and the other's only as it was, and would take more and more of the rate.
// The part of an instance is fixed when it falls silent, from what all were asked
// for at that time, so that the parts of both sides together stay the whole.
package berylreserve

import "maps"

// Reserve fixes parts by instance and workspace. It is not safe for concurrent
// use.
type Reserve struct {
	fixed map[string]map[string]float64
}

// even is how much of a part does not follow demand, so that an instance without
// requests at that time is left something.
const even = 0.2

// New returns a reserve without silent instances.
func New() *Reserve { return &Reserve{fixed: map[string]map[string]float64{}} }

// Update takes the demand of all instances by workspace, as last heard, and
// which of them are silent. Own is the demand of this one.
func (r *Reserve) Update(own map[string]float64, demand map[string]map[string]float64, silent map[string]bool) {
	maps.DeleteFunc(r.fixed, func(host string, _ map[string]float64) bool { return !silent[host] })
	var sums map[string]float64
	for host := range silent {
		if r.fixed[host] != nil {
			continue
		}
		if sums == nil {
			sums = total(own, demand)
		}
		parts := map[string]float64{}
		for workspace, sum := range sums {
			// One that was never heard may be asked for as much as any other.
			if sum > 0 && demand[host] != nil {
				parts[workspace] = demand[host][workspace] / sum
			}
		}
		r.fixed[host] = parts
	}
}

func total(own map[string]float64, demand map[string]map[string]float64) map[string]float64 {
	sums := maps.Clone(own)
	if sums == nil {
		sums = map[string]float64{}
	}
	for _, by := range demand {
		for workspace, d := range by {
			sums[workspace] += d
		}
	}
	return sums
}

// Part returns the part of a workspace's rate that silent instances keep, in a
// fleet of n.
func (r *Reserve) Part(workspace string, n int) float64 {
	share := 1 / float64(max(n, 1))
	sum := 0.0
	for _, parts := range r.fixed {
		if p, known := parts[workspace]; known {
			sum += even*share + (1-even)*p
		} else {
			sum += share
		}
	}
	return min(sum, 1)
}
