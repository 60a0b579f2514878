package berylramp_test

import (
	"testing"
	"time"

	"berylspan/core/beryllender"
	"berylspan/core/berylramp"

	"github.com/stretchr/testify/require"
)

// Four data centres lend parts of one rate. The workspace's requests grow 3.3
// times everywhere at once; what the others are asked for is known 0.8 s late.
func TestRequestsThatGrowEverywhereStayWithinTheRate(t *testing.T) {
	const rate, burst, window = 200.0, 100.0, 5
	play := func(ramped bool) int {
		begin := time.Unix(100, 0)
		var lenders [4]*beryllender.Lender
		var ramps [4]*berylramp.Ramp
		for i := range lenders {
			lenders[i] = beryllender.New(begin.Add(-10*time.Second), rate, burst)
			ramps[i] = berylramp.New()
		}
		asked := func(at time.Duration) float64 {
			if at < 0 {
				return 45
			}
			return 45 * 3.3
		}
		ran := 0
		for at := -10 * time.Second; at < window*time.Second; at += 10 * time.Millisecond {
			now := begin.Add(at)
			for i := range lenders {
				own, others := asked(at), 3*asked(at-800*time.Millisecond)
				part := own / (own + others)
				if ramped {
					part = ramps[i].Limit(now, "w", part, 0.25)
				}
				lenders[i].SetLimits(now, rate, burst, 1-part, len(lenders))
				// Every hundredth of a second each is asked for its share.
				if n, _ := lenders[i].Lend(now, int(own/100+1)); at >= 0 {
					ran += n
				}
			}
		}
		return ran
	}
	allowed := rate*window + burst
	t.Log(play(false), play(true))
	require.Greater(t, float64(play(false)), allowed, "the load would break the rate")
	require.LessOrEqual(t, float64(play(true)), allowed)
}

func TestPartsShrinkAtOnceAndGrowSlowly(t *testing.T) {
	now := time.Unix(100, 0)
	r := berylramp.New()
	require.InDelta(t, 0.25, r.Limit(now, "w", 0.9, 0.25), 1e-9, "starts even")
	now = now.Add(time.Second)
	require.InDelta(t, 0.4, r.Limit(now, "w", 0.9, 0.25), 1e-9)
	require.InDelta(t, 0.1, r.Limit(now, "w", 0.1, 0.25), 1e-9)
}
