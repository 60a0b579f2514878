package beryllender

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Whatever is asked for and when, no window of five seconds holds more than the
// rate and the burst.
func TestNoWindowHoldsMoreThanRateAndBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(1, 200).Draw(t, "rate")
		burst := rapid.Float64Range(1, 200).Draw(t, "burst")
		now := time.Unix(1_000, 0)
		l := New(now, rate, burst)
		type lent struct {
			at time.Time
			n  int
		}
		var all []lent
		for range rapid.IntRange(1, 200).Draw(t, "asks") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "gap")) * time.Millisecond)
			n, wait := l.Lend(now, rapid.IntRange(1, 20).Draw(t, "want"))
			require.True(t, n > 0 || wait > 0)
			all = append(all, lent{now, n})
		}
		for i := range all {
			sum := 0
			for _, x := range all[i:] {
				if x.at.Sub(all[i].at) <= 5*time.Second {
					sum += x.n
				}
			}
			require.LessOrEqual(t, float64(sum), rate*5+max(burst, 1)+1e-6)
		}
	})
}

func TestANewLenderStartsEmpty(t *testing.T) {
	now := time.Unix(1_000, 0)
	l := New(now, 10, 100)
	n, wait := l.Lend(now, 5)
	require.Zero(t, n)
	require.Equal(t, 100*time.Millisecond, wait)
}

func TestReservedPartIsNotLent(t *testing.T) {
	now := time.Unix(1_000, 0)
	l := New(now, 10, 10)
	l.Set(now, 10, 10, 0.5, 1)
	n, _ := l.Lend(now.Add(time.Second), 100)
	require.Equal(t, 4, n)
}

// Four data centres lend at once and none has heard what the others are asked
// for: their bursts together are no more than the workspace's.
func TestLendersShareTheBurst(t *testing.T) {
	now := time.Unix(1_000, 0)
	sum := 0
	for range 4 {
		l := New(now, 100, 100)
		l.Set(now, 100, 100, 0.2, 4)
		n, _ := l.Lend(now.Add(time.Minute), 1000)
		sum += n
	}
	require.LessOrEqual(t, sum, 100)
}

// After ten milliseconds at 200 a second the bucket holds a token less a rounding
// error.
func TestWhoGetsNoneIsToldToWait(t *testing.T) {
	now := time.Unix(1_000, 0)
	l := New(now, 200, 2)
	for _, gap := range []time.Duration{1, 3, 3, 3} {
		now = now.Add(gap * time.Millisecond)
		n, wait := l.Lend(now, 1)
		require.True(t, n > 0 || wait > 0)
	}
}
