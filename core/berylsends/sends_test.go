package berylsends

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A retry storm: every request fails and would be repeated. The repeats of all
// instances together stay under a fifth of the first sends and 50 more.
func TestAStormOfFailuresIsNotMultiplied(t *testing.T) {
	const instances, requests = 17, 200
	again := 0
	for range instances {
		s := New()
		for range requests {
			s.First()
			if s.Again() {
				again++
			}
		}
	}
	require.LessOrEqual(t, float64(again), 0.2*instances*requests+50)
	require.Positive(t, again)
}
