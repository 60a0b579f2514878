package berylretries

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a retry storm: every request fails and is to be retried. The
// retries of all instances together are at most a fifth of the first attempts plus
// 50.
func TestRetryStormIsBounded(t *testing.T) {
	const instances, requests = 17, 200
	retries := 0
	for range instances {
		b, now := New(), time.Unix(0, 0)
		for range requests {
			b.RecordRequest(now)
			if b.Take(now) {
				retries++
			}
		}
	}
	require.LessOrEqual(t, float64(retries), 0.2*instances*requests+50)
	require.Positive(t, retries)
}
