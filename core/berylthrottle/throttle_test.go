package berylthrottle

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// offer plays an even load of the given part of ten slots and returns what is
// open at its end.
func offer(th *Throttle, from time.Time, load float64, d time.Duration) time.Time {
	const slots, gap = 10, 5 * time.Millisecond
	for at := from; at.Before(from.Add(d)); at = at.Add(gap) {
		th.Offer(at, load*slots*gap.Seconds(), slots)
	}
	return from.Add(d)
}

func TestOverloadClosesAndItsEndOpens(t *testing.T) {
	th := New()
	now := offer(th, time.Unix(1_000, 0), 0.7, 2*time.Second)
	require.Equal(t, 1.0, th.Open(now), "a load that fits")
	now = offer(th, now, 2, 2*time.Second)
	require.Less(t, th.Open(now), 0.3, "twice what fits")
	now = offer(th, now, 0.5, 6*time.Second)
	require.Equal(t, 1.0, th.Open(now), "after the overload")
}

func TestAServerWithoutOffersOpens(t *testing.T) {
	th := New()
	now := offer(th, time.Unix(1_000, 0), 3, 2*time.Second)
	require.Equal(t, 1.0, th.Open(now.Add(10*time.Second)))
}
