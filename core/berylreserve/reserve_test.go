package berylreserve

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// A workspace becomes eight times as busy while some instances are cut off, each
// on its own. Whatever is asked for then, the parts of all sides together are the
// rate.
func TestPartsOnAllSidesOfAPartitionStayTheWhole(t *testing.T) {
	const n = 17
	before := map[string]map[string]float64{}
	for i := range n {
		before[fmt.Sprint(i)] = map[string]float64{"w": float64(1 + i%3)}
	}
	without := func(hosts ...string) map[string]map[string]float64 {
		out := map[string]map[string]float64{}
		for h, d := range before {
			out[h] = d
		}
		for _, h := range hosts {
			delete(out, h)
		}
		return out
	}
	alone := map[string]bool{"0": true, "1": true, "2": true, "3": true, "4": true, "5": true}
	sum := 0.0
	for host := range alone { // Hears nobody.
		r := New()
		silent := map[string]bool{}
		for h := range before {
			if h != host {
				silent[h] = true
			}
		}
		r.Update(before[host], without(host), silent)
		busy := map[string]float64{"w": before[host]["w"] * 8}
		r.Update(busy, without(host), silent)
		sum += 1 - r.Part("w", n)
	}
	r := New() // One of those that still hear each other.
	r.Update(before["6"], without("6"), alone)
	r.Update(map[string]float64{"w": before["6"]["w"] * 8}, without("6"), alone)
	sum += 1 - r.Part("w", n)
	require.InDelta(t, 1, sum, 1e-9)
}

func TestAnInstanceThatIsHeardAgainKeepsNothingBack(t *testing.T) {
	r := New()
	r.Update(map[string]float64{"w": 1}, map[string]map[string]float64{"a": {"w": 1}}, map[string]bool{"a": true})
	require.InDelta(t, 0.5, r.Part("w", 2), 1e-9)
	r.Update(map[string]float64{"w": 1}, map[string]map[string]float64{"a": {"w": 1}}, nil)
	require.Zero(t, r.Part("w", 2))
}

func TestOfAWorkspaceWithoutRequestsEachKeepsAnEvenPart(t *testing.T) {
	r := New()
	r.Update(nil, nil, map[string]bool{"a": true, "b": true})
	require.InDelta(t, 0.5, r.Part("idle", 4), 1e-9)
}

// Everything was restarted: each instance has callers and has heard nobody.
func TestAfterARestartOfEverythingEachHasAnEvenPart(t *testing.T) {
	r := New()
	silent := map[string]bool{"a": true, "b": true, "c": true}
	r.Update(map[string]float64{"w": 50}, nil, silent)
	r.Update(map[string]float64{"w": 90}, nil, silent)
	require.InDelta(t, 0.75, r.Part("w", 4), 1e-9)
}
