package berylarrivals

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestRateFollowsArrivals(t *testing.T) {
	var a Arrivals
	now := time.Unix(100, 0)
	require.Zero(t, a.PerSecond(now))
	for range 500 {
		now = now.Add(10 * time.Millisecond)
		a.Add(now, 2)
	}
	require.InDelta(t, 200, a.PerSecond(now), 5)
	require.InDelta(t, 200/2.718, a.PerSecond(now.Add(time.Second)), 3)
}
