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
