// Package berylreserve reserves shares of a rate for unreachable instances.
//
// It handles changes of demand during a partition: each side sees its own demand
// grow while its view of the other side's stays the same, so it would claim more and
// more of the rate. The share of an instance is therefore fixed when it becomes
// unreachable, from the demand at all instances at that time, so that the shares of
// both sides still add up to the whole rate.
package berylreserve

import "maps"

// Reserve keeps the shares of unreachable instances. It is not safe for concurrent
// use.
type Reserve struct {
	shares map[string]map[string]float64 // by host and workspace, as fractions of the rate
}

// evenFraction is the fraction of a share that does not follow demand, so that an
// instance without requests when it becomes unreachable still has a share.
const evenFraction = 0.2

// New returns a reserve without unreachable instances.
func New() *Reserve { return &Reserve{shares: map[string]map[string]float64{}} }

// Update fixes the shares of instances that have become unreachable and releases
// those of instances that are reachable again. own is the demand at this instance by
// workspace, demand the last known demand at the others by host and workspace.
func (r *Reserve) Update(own map[string]float64, demand map[string]map[string]float64, unreachable map[string]bool) {
	maps.DeleteFunc(r.shares, func(host string, _ map[string]float64) bool { return !unreachable[host] })
	var totals map[string]float64
	for host := range unreachable {
		if r.shares[host] != nil {
			continue
		}
		if totals == nil {
			totals = totalDemand(own, demand)
		}
		shares := map[string]float64{}
		for workspace, total := range totals {
			// An instance that never reported its demand may have as much as any
			// other, so it gets no fixed share and Share reserves an even one.
			if total > 0 && demand[host] != nil {
				shares[workspace] = demand[host][workspace] / total
			}
		}
		r.shares[host] = shares
	}
}

func totalDemand(own map[string]float64, demand map[string]map[string]float64) map[string]float64 {
	totals := maps.Clone(own)
	if totals == nil {
		totals = map[string]float64{}
	}
	for _, byWorkspace := range demand {
		for workspace, d := range byWorkspace {
			totals[workspace] += d
		}
	}
	return totals
}

// Share returns the fraction of a workspace's rate that is reserved for unreachable
// instances. instanceCount is the number of instances that share the rate.
func (r *Reserve) Share(workspace string, instanceCount int) float64 {
	evenShare := 1 / float64(max(instanceCount, 1))
	reserved := 0.0
	for _, shares := range r.shares {
		if share, known := shares[workspace]; known {
			reserved += evenFraction*evenShare + (1-evenFraction)*share
		} else {
			reserved += evenShare
		}
	}
	return min(reserved, 1)
}
