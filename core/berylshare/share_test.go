package berylshare

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"berylspan/core/berylconfig"
	"berylspan/core/berylplan"
	"berylspan/core/berylworkspace"
	"berylspan/core/berylzone"
)

func zones(weights ...float64) []berylzone.Zone {
	var out []berylzone.Zone
	for i, w := range weights {
		out = append(out, berylzone.Zone{Name: string(rune('a' + i)), Weight: w})
	}
	return out
}

func config(zs []berylzone.Zone) *berylconfig.Config {
	w := &berylworkspace.Workspace{Name: "w", Plan: &berylplan.Plan{Rate: 100, Burst: 100}}
	return &berylconfig.Config{Zones: zs, Workspaces: map[string]*berylworkspace.Workspace{"w": w}}
}

// For any burst of 1 to 50 the fractions add up to 1, and every data centre whose
// fraction is above 0 can grant at least one whole token.
func TestFractionsAddUpToOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zs := zones(rapid.SliceOfN(rapid.Float64Range(0.1, 10), 1, 12).Draw(t, "weights")...)
		plan := &berylplan.Plan{Rate: 10, Burst: rapid.Float64Range(1, 50).Draw(t, "burst")}
		sum := 0.0
		for _, z := range zs {
			fraction := Fraction(z.Name, zs, "w", plan)
			require.True(t, fraction == 0 || fraction*plan.Burst >= 1)
			sum += fraction
		}
		require.InDelta(t, 1, sum, 1e-9)
	})
}

// While data centres may still follow different weights, the fractions that they
// grant add up to no more than 1.
func TestSmallerFractionAppliesDuringTransition(t *testing.T) {
	now := time.Unix(0, 0)
	old, next := zones(1, 1), zones(3, 1)
	a, b := New("a"), New("b")
	for _, s := range []*Share{a, b} {
		s.SetConfig(now, config(old))
	}
	a.SetConfig(now, config(next))
	rateA, _ := a.Limits(now, "w")
	rateB, _ := b.Limits(now, "w")
	require.InDelta(t, 50, rateA, 1e-9, "the larger new fraction does not apply yet")
	require.InDelta(t, 50, rateB, 1e-9, "the other data centre still follows the old weights")
	b.SetConfig(now, config(next))
	rateB, _ = b.Limits(now, "w")
	require.InDelta(t, 25, rateB, 1e-9, "the smaller new fraction applies at once")
	rateA, _ = a.Limits(now.Add(TransitionPeriod), "w")
	require.InDelta(t, 75, rateA, 1e-9)
}
