package berylramp_test

import (
	"testing"
	"time"

	"berylspan/core/beryllender"
	"berylspan/core/berylramp"

	"github.com/stretchr/testify/require"
)

// Guards against exceeding the rate when demand grows 3.3 times in four data centres
// at once, each of which lends its share and learns the demand of the others 0.8 s
// late.
func TestConcurrentGrowthStaysWithinRate(t *testing.T) {
	const rate, burst, window = 200.0, 100.0, 5
	simulate := func(ramped bool) int {
		start := time.Unix(100, 0)
		var lenders [4]*beryllender.Lender
		var ramps [4]*berylramp.Ramp
		for i := range lenders {
			lenders[i] = beryllender.New(start.Add(-10*time.Second), rate, burst)
			ramps[i] = berylramp.New(start.Add(-time.Minute))
		}
		demand := func(offset time.Duration) float64 {
			if offset < 0 {
				return 45
			}
			return 45 * 3.3
		}
		admitted := 0
		for offset := -10 * time.Second; offset < window*time.Second; offset += 10 * time.Millisecond {
			now := start.Add(offset)
			for i := range lenders {
				own, others := demand(offset), 3*demand(offset-800*time.Millisecond)
				share := own / (own + others)
				if ramped {
					share = ramps[i].Limit(now, "w", share, 0.25)
				}
				lenders[i].SetLimits(now, rate, burst, 1-share, len(lenders))
				// Every 10 ms each lender is asked for the tokens of its own demand.
				if n, _ := lenders[i].Lend(now, int(own/100+1)); offset >= 0 {
					admitted += n
				}
			}
		}
		return admitted
	}
	allowed := rate*window + burst
	t.Log(simulate(false), simulate(true))
	require.Greater(t, float64(simulate(false)), allowed, "without the ramp the load exceeds rate and burst")
	require.LessOrEqual(t, float64(simulate(true)), allowed)
}

func TestSharesShrinkAtOnceAndGrowSlowly(t *testing.T) {
	now := time.Unix(100, 0)
	r := berylramp.New(time.Unix(40, 0))
	require.InDelta(t, 0.25, r.Limit(now, "w", 0.9, 0.25), 1e-9, "starts at the initial share")
	now = now.Add(time.Second)
	require.InDelta(t, 0.4, r.Limit(now, "w", 0.9, 0.25), 1e-9)
	require.InDelta(t, 0.1, r.Limit(now, "w", 0.1, 0.25), 1e-9)
}

// All data centres restart at once. The lending one hears the first of the other five
// after 0.4 s and the last after 0.9 s; its share then grew from a sixth to the whole rate
// within 5.5 s, while the fleet was under its full load.
func TestLendingShareIsWholeAsSoonAsAllDataCentresAreHeard(t *testing.T) {
	start := time.Unix(100, 0)
	r := berylramp.New(start)
	for i, heard := range []float64{0, 0, 1, 3, 5, 5} {
		now := start.Add(time.Duration(i) * 200 * time.Millisecond)
		require.InDelta(t, (1+heard)/6, r.LimitLending(now, "w", (1+heard)/6), 1e-9, "after %v", now.Sub(start))
	}
	// Later a share that shrank because a data centre was not heard grows slowly again.
	cut := start.Add(time.Minute)
	require.InDelta(t, 0.5, r.LimitLending(cut, "w", 0.5), 1e-9)
	require.InDelta(t, 0.65, r.LimitLending(cut.Add(time.Second), "w", 1), 1e-9)
}
