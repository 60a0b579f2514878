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
