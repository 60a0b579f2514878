package berylevenness_test

import (
	"testing"

	"berylspan/core/berylevenness"
	"berylspan/core/berylplacement"

	"github.com/stretchr/testify/require"
)

func TestMeasure(t *testing.T) {
	for _, tc := range []struct {
		name string
		cs   []berylplacement.Candidate
		want berylevenness.Evenness
		ok   bool
	}{
		{"even", []berylplacement.Candidate{{Busy: 10, Limit: 20}, {Busy: 20, Limit: 40}}, berylevenness.Evenness{}, true},
		{"one overrun while another idles", []berylplacement.Candidate{{Busy: 30, Limit: 20}, {Busy: 6, Limit: 20}}, berylevenness.Evenness{Spread: 0.6, IdleWhileQueued: 10}, true},
		{"all overrun", []berylplacement.Candidate{{Busy: 30, Limit: 20}, {Busy: 30, Limit: 20}}, berylevenness.Evenness{}, true},
		{"one server known", []berylplacement.Candidate{{Busy: 10, Limit: 20}, {Limit: 20, Age: berylplacement.UnknownAge}, {Limit: 20, OtherZone: true}}, berylevenness.Evenness{}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got, ok := berylevenness.Measure(tc.cs)
			require.Equal(t, tc.ok, ok)
			require.InDelta(t, tc.want.Spread, got.Spread, 1e-9)
			require.InDelta(t, tc.want.IdleWhileQueued, got.IdleWhileQueued, 1e-9)
		})
	}
}
