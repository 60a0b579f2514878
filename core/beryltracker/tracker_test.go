package beryltracker

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A heartbeat that was received before the latest answer of an instance was recorded after
// it, so that a full instance looked idle.
func TestOlderLoadReportDoesNotReplaceNewerOne(t *testing.T) {
	now := time.Unix(100, 0)
	tr := New()
	tr.LoadReported(now, "i", "r", 9, 10, 0, 0)
	tr.LoadReported(now.Add(-300*time.Millisecond), "i", "", 0, 10, 0, 0)
	require.InDelta(t, 9, tr.Candidate(now, "i", "r", 10).Busy, 1e-9)
}

// Half of a server's machine is taken by others for a moment. The moving average of service
// times follows such a change too late.
func TestServiceTimeFollowsSlowdownAtOnce(t *testing.T) {
	now := time.Unix(100, 0)
	tr := New()
	serviceTime := func(at time.Time) float64 { return tr.Candidate(at, "i", "r", 10).ServiceTime }
	tr.LoadReported(now, "i", "r", 1, 10, 0.1, 1)
	tr.LoadReported(now, "i", "", 1, 10, 0, 2)
	require.InDelta(t, 0.2, serviceTime(now), 1e-9, "heartbeat with a slowdown")
	require.InDelta(t, 0.1, serviceTime(now.Add(1900*time.Millisecond)), 0.001, "a slowdown that is not confirmed does not last")
	tr.LoadReported(now, "i", "r", 1, 10, 0.2, 2)
	require.InDelta(t, 0.2, serviceTime(now), 1e-9, "the time of a slow request is not slowed down twice")
	tr.LoadReported(now, "i", "", 1, 10, 0, 0)
	require.InDelta(t, 0.1, serviceTime(now), 1e-9, "unknown is as usual")
}
