package beryltimelimit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestElapsed(t *testing.T) {
	const limit = 5 * time.Second
	repeated := func(n int, values ...time.Duration) []time.Duration {
		var out []time.Duration
		for range n {
			out = append(out, values...)
		}
		return out
	}
	for _, tc := range []struct {
		name   string
		before []time.Duration
		left   time.Duration
		want   time.Duration
	}{
		{"first request", nil, limit, 0},
		{"first attempt among first attempts", repeated(40, limit), limit, 0},
		{"retry among first attempts", repeated(40, limit), limit - 700*time.Millisecond, 700 * time.Millisecond},
		{"retry while half are retries", repeated(20, limit, limit-time.Second), limit - 2*time.Second, 2 * time.Second},
		// The largest limit ever seen used to count: all later requests were late for good.
		{"first attempt after one with a much longer limit", append(repeated(40, limit), 29*time.Second), limit, 0},
		{"first attempt while one in ten has a longer limit", repeated(10, append(repeated(9, limit), 29*time.Second)...), limit, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			e := &Estimator{}
			for _, left := range tc.before {
				e.Elapsed(left)
			}
			require.Equal(t, tc.want, e.Elapsed(tc.left))
		})
	}
}
