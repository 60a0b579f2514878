package berylcoldlimit_test

import (
	"testing"
	"time"

	"berylspan/core/berylcoldlimit"

	"github.com/stretchr/testify/require"
)

// Load: 200 requests per second, of which each starts when it may.
func offer(l *berylcoldlimit.Limit, from, to time.Time) (starts []time.Time) {
	for now := from; now.Before(to); now = now.Add(5 * time.Millisecond) {
		if l.Wait(now) == 0 {
			l.Take(now)
			starts = append(starts, now)
		}
	}
	return starts
}

func mostInSecond(starts []time.Time) (most int) {
	first := 0
	for i, at := range starts {
		for at.Sub(starts[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

func TestColdServerGetsNoMoreThanItTolerates(t *testing.T) {
	begin := time.Unix(1_000, 0)
	for _, tc := range []struct {
		name             string
		perSecond        float64
		most, atLeastIn3 int // in any second, and in 3 s
	}{
		{name: "some requests per second", perSecond: 12, most: 12, atLeastIn3: 36},
		{name: "not a whole number", perSecond: 12.9, most: 12, atLeastIn3: 36},
		{name: "less than one request per second", perSecond: 0.5, most: 1, atLeastIn3: 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var l berylcoldlimit.Limit
			l.SetRate(tc.perSecond)
			l.SetCold(true)
			starts := offer(&l, begin, begin.Add(3*time.Second))
			require.LessOrEqual(t, mostInSecond(starts), tc.most)
			require.GreaterOrEqual(t, len(starts), tc.atLeastIn3)
		})
	}
}

// Without the starts before, a server that becomes cold under full load gets another second's
// worth at once.
func TestStartsBeforeAServerBecomesColdCount(t *testing.T) {
	begin := time.Unix(1_000, 0)
	var l berylcoldlimit.Limit
	l.SetRate(12)
	warm := offer(&l, begin, begin.Add(time.Second))
	require.Len(t, warm, 200)
	l.SetCold(true)
	cold := offer(&l, begin.Add(time.Second), begin.Add(4*time.Second))
	require.LessOrEqual(t, mostInSecond(cold), 12)
	require.False(t, cold[0].Before(begin.Add(1900*time.Millisecond)))
	l.SetCold(false)
	require.Len(t, offer(&l, begin.Add(4*time.Second), begin.Add(5*time.Second)), 200)
}

func TestLimitOfAnotherConfiguration(t *testing.T) {
	begin := time.Unix(1_000, 0)
	var l berylcoldlimit.Limit
	l.SetRate(12)
	l.SetCold(true)
	starts := offer(&l, begin, begin.Add(500*time.Millisecond))
	l.SetRate(20)
	starts = append(starts, offer(&l, begin.Add(500*time.Millisecond), begin.Add(2*time.Second))...)
	require.LessOrEqual(t, mostInSecond(starts), 20)
	l.SetRate(0)
	require.Len(t, offer(&l, begin.Add(2*time.Second), begin.Add(3*time.Second)), 200)
}
