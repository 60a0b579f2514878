package berylsplitter

import (
	"testing"

	"berylspan/core/beryldestination"

	"github.com/stretchr/testify/require"
)

func TestSharesHoldInShortWindows(t *testing.T) {
	parts := []beryldestination.Destination{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}
	s := New(parts, 0.3)
	n := map[string]int{}
	for range 100 {
		n[s.Next(parts)]++
	}
	require.InDelta(t, 90, n["a"], 1)
	require.InDelta(t, 10, n["b"], 1)
}

func TestInstancesStartWithDifferentParts(t *testing.T) {
	parts := []beryldestination.Destination{{Service: "a", Weight: 50}, {Service: "b", Weight: 50}}
	first := map[string]int{}
	for i := range 20 {
		first[New(parts, float64(i)/20).Next(parts)]++
	}
	require.Len(t, first, 2)
}

func TestPartWithZeroWeightGetsNoRequests(t *testing.T) {
	parts := []beryldestination.Destination{{Service: "a", Weight: 0}, {Service: "b", Weight: 1}}
	s := New(parts, 0)
	for range 10 {
		require.Equal(t, "b", s.Next(parts))
	}
}
