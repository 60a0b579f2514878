package berylregions_test

import (
	"testing"

	"berylspan/core/berylregions"

	"github.com/stretchr/testify/require"
)

func TestRegions(t *testing.T) {
	r := berylregions.New("a1", map[string]string{"a1": "a", "a2": "a", "b1": "b"})
	require.Equal(t, "b", r.Of("b1"))
	require.Empty(t, r.Of("c1"))
	require.True(t, r.Other("b1"))
	require.False(t, r.Other("a2"))
	require.False(t, r.Other("c1"), "its region is unknown")
	require.False(t, new(berylregions.Regions).Other("b1"))
	require.False(t, berylregions.New("c1", map[string]string{"a1": "a", "b1": "b"}).Other("b1"), "the own region is unknown")
}
