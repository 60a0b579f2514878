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

// Others take most of a server's machine for a moment. The moving average of service times
// follows that too late, and takes long to forget it.
func TestServiceTimeFollowsSlowdownAtOnce(t *testing.T) {
	now := time.Unix(100, 0)
	tr := New()
	serviceTime := func() float64 { return tr.Candidate(now, "i", "r", 10).ServiceTime }
	for range 100 {
		now = now.Add(20 * time.Millisecond)
		tr.LoadReported(now, "i", "r", 1, 10, 0.15, 1.5)
	}
	require.InDelta(t, 0.15, serviceTime(), 1e-9, "as usual on a slow machine")
	tr.LoadReported(now, "i", "", 1, 10, 0, 3)
	require.InDelta(t, 0.3, serviceTime(), 1e-9, "heartbeat with a slowdown")
	tr.LoadReported(now, "i", "r", 1, 10, 0.3, 3)
	require.InDelta(t, 0.3, serviceTime(), 1e-9, "the time of a slow request is not slowed down twice")
	now = now.Add(2 * time.Second)
	require.InDelta(t, 0.15, serviceTime(), 0.01, "a slowdown that is not confirmed does not last")
	tr.LoadReported(now, "i", "", 1, 10, 0, 0)
	require.InDelta(t, 0.15, serviceTime(), 0.01, "unknown changes nothing")
}

// A server goes down while it runs requests: it answers them and refuses what comes. As it is
// empty then, it got every next request until the one after was refused.
func TestAnswerToEarlierRequestDoesNotClearRefusal(t *testing.T) {
	now := time.Unix(100, 0)
	tr := New()
	suspect := func() bool { return tr.Candidate(now, "i", "r", 10).Suspect }
	sent := now
	now = now.Add(100 * time.Millisecond)
	tr.Refused(now, "i")
	now = now.Add(100 * time.Millisecond)
	tr.Succeeded(now, "i", sent)
	require.True(t, suspect())
	tr.Succeeded(now, "i", now.Add(-50*time.Millisecond))
	require.False(t, suspect())
	tr.Failed(now, "i")
	tr.Succeeded(now, "i", now.Add(-time.Millisecond))
	require.False(t, suspect(), "a single answer that could not be used says less")
}
