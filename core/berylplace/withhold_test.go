package berylplace

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Servers above an overloaded service hold new work back, here first.
func TestNewWorkThatIsHeldBackStaysInItsDataCentre(t *testing.T) {
	cs := []Candidate{{Limit: 5, Bound: true}, {Limit: 5, Busy: 4}, {Limit: 5, Far: true}}
	Withhold(cs)
	i, _ := Choose(cs, Costs{}, func() float64 { return 0 })
	require.Equal(t, 1, i)
	cs[1].Bound = true
	Withhold(cs)
	i, _ = Choose(cs, Costs{}, func() float64 { return 0 })
	require.Equal(t, -1, i)
}

// A slow server joins on a calm day: fast ones are never full, so nothing would
// ever show what it can do.
func TestAServerThatWasNotUsedForLongIsTriedOnce(t *testing.T) {
	cs := []Candidate{{Limit: 20, Hold: 0.02}, {Limit: 20, Hold: 0.05, Idle: true}}
	i, _ := Choose(cs, Costs{}, func() float64 { return 0 })
	require.Equal(t, 1, i)
	cs[1].Idle = false
	i, _ = Choose(cs, Costs{}, func() float64 { return 0 })
	require.Equal(t, 0, i)
	cs[1].Idle, cs[1].Far = true, true
	i, _ = Choose(cs, Costs{Far: 0.06}, func() float64 { return 0 })
	require.Equal(t, 0, i, "not in another data centre")
}

// The own data centre has no server of the service: a far one that does not hold
// back new work is all there is.
func TestWithoutServersNearbyFarOnesAreNotWithheld(t *testing.T) {
	cs := []Candidate{{Far: true, Bound: true}, {Far: true}}
	Withhold(cs)
	require.True(t, cs[0].Tried)
	require.False(t, cs[1].Tried)
}
