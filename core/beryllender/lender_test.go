package beryllender

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against lending more tokens in any five-second window than the rate and the
// burst allow, for any sequence of requested amounts and intervals.
func TestLentTokensStayWithinRateAndBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(1, 200).Draw(t, "rate")
		burst := rapid.Float64Range(1, 200).Draw(t, "burst")
		now := time.Unix(1_000, 0)
		l := New(now, rate, burst)
		type loan struct {
			at time.Time
			n  int
		}
		var loans []loan
		for range rapid.IntRange(1, 200).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "gap")) * time.Millisecond)
			n, wait := l.Lend(now, rapid.IntRange(1, 20).Draw(t, "want"))
			require.True(t, n > 0 || wait > 0)
			loans = append(loans, loan{now, n})
		}
		for i := range loans {
			sum := 0
			for _, later := range loans[i:] {
				if later.at.Sub(loans[i].at) <= 5*time.Second {
					sum += later.n
				}
			}
			require.LessOrEqual(t, float64(sum), rate*5+max(burst, 1)+1e-6)
		}
	})
}

func TestNewLenderStartsEmpty(t *testing.T) {
	now := time.Unix(1_000, 0)
	l := New(now, 10, 100)
	n, wait := l.Lend(now, 5)
	require.Zero(t, n)
	require.Equal(t, 100*time.Millisecond, wait)
}

func TestReservedShareIsNotLent(t *testing.T) {
	now := time.Unix(1_000, 0)
	l := New(now, 10, 10)
	l.SetLimits(now, 10, 10, 0.5, 1)
	n, _ := l.Lend(now.Add(time.Second), 100)
	require.Equal(t, 4, n)
}

// Guards against exceeding the burst of a workspace when four data centres lend at
// once and none knows the demand at the others yet.
func TestLendersShareTheBurst(t *testing.T) {
	now := time.Unix(1_000, 0)
	sum := 0
	for range 4 {
		l := New(now, 100, 100)
		l.SetLimits(now, 100, 100, 0.2, 4)
		n, _ := l.Lend(now.Add(time.Minute), 1000)
		sum += n
	}
	require.LessOrEqual(t, sum, 100)
}

// Guards against a denial with a wait of zero: after 10 ms at 200 tokens per second
// the bucket holds one token less a rounding error.
func TestDenialReturnsPositiveWait(t *testing.T) {
	now := time.Unix(1_000, 0)
	l := New(now, 200, 2)
	for _, gap := range []time.Duration{1, 3, 3, 3} {
		now = now.Add(gap * time.Millisecond)
		n, wait := l.Lend(now, 1)
		require.True(t, n > 0 || wait > 0)
	}
}
