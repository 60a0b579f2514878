package berylsidecar

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestStopTimesFitTheGrace(t *testing.T) {
	for _, grace := range []time.Duration{500 * time.Millisecond, time.Second, 3 * time.Second, 4500 * time.Millisecond, 6 * time.Second, time.Minute} {
		t.Run(grace.String(), func(t *testing.T) {
			times := newStopTimes(grace)
			require.GreaterOrEqual(t, times.endWork, grace-grace/6-1, "running requests may be cancelled in the last sixth of the grace only")
			require.Less(t, times.tellPeers, times.stopReading)
			require.Less(t, times.stopReading, times.endWork)
			require.Less(t, times.endWork, times.endAnswers)
			require.Less(t, times.endAnswers+times.closing, grace)
		})
	}
}
