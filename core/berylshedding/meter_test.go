package berylshedding

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestShareFollowsOutcomesWithinASecond(t *testing.T) {
	var m Meter
	now := time.Unix(0, 0)
	play := func(d time.Duration, failEvery int) {
		for end, i := now.Add(d), 0; now.Before(end); i++ {
			now = now.Add(5 * time.Millisecond)
			m.Record(now, failEvery > 0 && i%failEvery == 0)
		}
	}
	require.Zero(t, m.Share(now))
	play(2*time.Second, 0)
	require.Zero(t, m.Share(now))
	play(500*time.Millisecond, 2)
	require.Greater(t, m.Share(now), MinShare, "0.5 s after it began")
	play(time.Second, 2)
	require.InDelta(t, 0.5, m.Share(now), 0.05)
	play(500*time.Millisecond, 0)
	require.Less(t, m.Share(now), MinShare, "0.5 s after it ended")
}

func TestChangesAreToldOnceAndNotOften(t *testing.T) {
	var m Meter
	now := time.Unix(0, 0)
	told := 0
	play := func(d time.Duration, failed bool) {
		for end := now.Add(d); now.Before(end); now = now.Add(5 * time.Millisecond) {
			m.Record(now, failed)
			if m.Changed(now) {
				told++
			}
		}
	}
	play(time.Second, false)
	require.Zero(t, told)
	play(100*time.Millisecond, true)
	require.Equal(t, 1, told, "within 0.1 s")
	play(2*time.Second, true)
	require.Equal(t, 1, told)
	play(time.Second, false)
	require.Equal(t, 2, told)
	for range 20 {
		play(100*time.Millisecond, true)
		play(400*time.Millisecond, false)
	}
	require.LessOrEqual(t, told, 2+26, "not more than 2.5 a second")
}

func TestServerThatGetsTooFewArrivalsCountsAsSound(t *testing.T) {
	var m Meter
	now := time.Unix(0, 0)
	for range 20 {
		m.Record(now, true)
	}
	require.InDelta(t, 1, m.Share(now), 1e-9)
	require.Zero(t, m.Share(now.Add(time.Second)))
}
