package berylretries

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a retry storm: every request fails and is to be retried. The
// retries of all instances together are at most a fifth of the first attempts plus
// 50.
func TestRetryStormIsBounded(t *testing.T) {
	const instances, requests = 17, 200
	retries := 0
	for range instances {
		b := New()
		for range requests {
			b.RecordRequest()
			if b.Take() {
				retries++
			}
		}
	}
	require.LessOrEqual(t, float64(retries), 0.2*instances*requests+50)
	require.Positive(t, retries)
}
