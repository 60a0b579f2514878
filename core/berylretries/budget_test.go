package berylretries

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
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

// All servers of a service reject most calls for 8 s, and fewer calls are made because of that.
// The rule of the fleet: in no window of 10 s more retries than a fifth of the requests of that
// window, of the one before it or of the one half a window before it, and 50.
func TestRejectedRequestsUseMoreButStayWithinTheFleetsWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const steps, perSecond = 400, 10 // tenths of a second
		instances := rapid.IntRange(1, 8).Draw(t, "instances")
		requests, retries := make([]int, steps), make([]int, steps)
		for i := range instances {
			b, start := New(), time.Unix(int64(i), 0)
			usual := rapid.IntRange(1, 60).Draw(t, "usual")
			few := rapid.IntRange(0, usual).Draw(t, "few")
			for step := range steps {
				now := start.Add(time.Duration(step) * time.Second / perSecond)
				shedding := step >= 150 && step < 230
				n := usual
				if shedding {
					n = few
				}
				for range n {
					requests[step]++
					b.RecordRequest(now)
					for shedding {
						if _, ok := b.TakeRejected(now, 0); !ok {
							break
						}
						retries[step]++
					}
				}
			}
		}
		sum := func(counts []int, end int) int {
			n := 0
			for i := max(0, end-window*perSecond); i < max(0, end); i++ {
				n += counts[i]
			}
			return n
		}
		for end := 1; end <= steps; end++ {
			most := max(sum(requests, end), sum(requests, end-window*perSecond), sum(requests, end-window/2*perSecond))
			require.LessOrEqual(t, float64(sum(retries, end)), 0.2*float64(most)+50, "window that ends at %d", end)
		}
	})
}

func TestRejectedRequestsMayUseTheUsualRequestsOfTheWindow(t *testing.T) {
	b, now := New(), time.Unix(0, 0)
	for range 1000 {
		b.RecordRequest(now)
		now = now.Add(10 * time.Millisecond)
	}
	n := 0
	for range 90 {
		now = now.Add(100 * time.Millisecond)
		for {
			if _, ok := b.TakeRejected(now, 0); !ok {
				break
			}
			n++
		}
	}
	require.InDelta(t, 0.9*RejectedRatio*1000, float64(n), 15, "in 9 of the window's 10 s")
	require.False(t, b.Take(now), "other retries get no more than before")
}

func TestRejectedRequestWaitsForItsRetry(t *testing.T) {
	b, now := New(), time.Unix(0, 0)
	for range 1000 {
		b.RecordRequest(now)
		now = now.Add(10 * time.Millisecond)
	}
	last := time.Duration(0)
	for range 1000 {
		wait, ok := b.TakeRejected(now, 500*time.Millisecond)
		if !ok {
			require.InDelta(t, 0.5, last.Seconds(), 0.06, "no more retries than become due in that time")
			return
		}
		require.GreaterOrEqual(t, wait, last, "in order")
		require.LessOrEqual(t, wait, 500*time.Millisecond)
		last = wait
	}
	t.Fatal("retries have no end")
}
