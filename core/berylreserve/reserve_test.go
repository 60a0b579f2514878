package berylreserve

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against exceeding the rate when demand changes during a partition: the
// demand of a workspace grows eightfold while six instances are each isolated from
// all others. The shares of all sides must still add up to the rate.
func TestSharesOnAllSidesOfAPartitionSumToOne(t *testing.T) {
	const instanceCount = 17
	demand := map[string]map[string]float64{}
	for i := range instanceCount {
		demand[fmt.Sprint(i)] = map[string]float64{"w": float64(1 + i%3)}
	}
	demandWithout := func(hosts ...string) map[string]map[string]float64 {
		out := map[string]map[string]float64{}
		for h, d := range demand {
			out[h] = d
		}
		for _, h := range hosts {
			delete(out, h)
		}
		return out
	}
	isolated := map[string]bool{"0": true, "1": true, "2": true, "3": true, "4": true, "5": true}
	totalShare := 0.0
	for host := range isolated { // Receives from no other instance.
		r := New()
		unreachable := map[string]bool{}
		for h := range demand {
			if h != host {
				unreachable[h] = true
			}
		}
		r.Update(demand[host], demandWithout(host), unreachable)
		increased := map[string]float64{"w": demand[host]["w"] * 8}
		r.Update(increased, demandWithout(host), unreachable)
		totalShare += 1 - r.Share("w", instanceCount)
	}
	r := New() // One of those that still reach each other.
	r.Update(demand["6"], demandWithout("6"), isolated)
	r.Update(map[string]float64{"w": demand["6"]["w"] * 8}, demandWithout("6"), isolated)
	totalShare += 1 - r.Share("w", instanceCount)
	require.InDelta(t, 1, totalShare, 1e-9)
}

func TestReachableInstanceReservesNothing(t *testing.T) {
	r := New()
	r.Update(map[string]float64{"w": 1}, map[string]map[string]float64{"a": {"w": 1}}, map[string]bool{"a": true})
	require.InDelta(t, 0.5, r.Share("w", 2), 1e-9)
	r.Update(map[string]float64{"w": 1}, map[string]map[string]float64{"a": {"w": 1}}, nil)
	require.Zero(t, r.Share("w", 2))
}

func TestIdleWorkspaceReservesEvenShares(t *testing.T) {
	r := New()
	r.Update(nil, nil, map[string]bool{"a": true, "b": true})
	require.InDelta(t, 0.5, r.Share("idle", 4), 1e-9)
}

// Guards against exceeding the rate after a restart of the whole fleet, when each
// instance receives requests but knows the demand of no other.
func TestUnknownInstancesReserveEvenShares(t *testing.T) {
	r := New()
	unreachable := map[string]bool{"a": true, "b": true, "c": true}
	r.Update(map[string]float64{"w": 50}, nil, unreachable)
	r.Update(map[string]float64{"w": 90}, nil, unreachable)
	require.InDelta(t, 0.75, r.Share("w", 4), 1e-9)
}
