package berylgrace

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Requests of three kinds come ten times a second while an instance stops. None may be cancelled.
func TestRequestsThatComeDuringStopEndBeforeItsEnd(t *testing.T) {
	const (
		work  = 5200 * time.Millisecond // from the begin of the stop
		limit = 12 * time.Second
	)
	begin := time.Unix(1000, 0)
	for _, c := range []struct {
		name   string
		took   []time.Duration // in calm, again and again
		during time.Duration   // the longest that one takes in the stop
		taken  time.Duration   // all that come in this time are taken
	}{
		{"short", []time.Duration{50 * time.Millisecond}, 60 * time.Millisecond, 5 * time.Second},
		{"long", []time.Duration{3 * time.Second}, 3050 * time.Millisecond, 1800 * time.Millisecond},
		{"varied", []time.Duration{100 * time.Millisecond, time.Second}, time.Second, 3 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := New()
			for range 20 {
				for _, took := range c.took {
					g.Ended("a", took)
				}
			}
			g.Stop(begin.Add(work))
			for after := time.Duration(0); after < work; after += 100 * time.Millisecond {
				now := begin.Add(after)
				taken := g.MayTake(now, "a", false, now.Add(limit))
				if after <= c.taken {
					require.True(t, taken, "after %v", after)
				}
				if taken {
					require.LessOrEqual(t, after+c.during, work, "taken after %v", after)
				}
			}
		})
	}
}

func TestMayTake(t *testing.T) {
	now := time.Unix(1000, 0)
	end := now.Add(5 * time.Second)
	g := New()
	g.Ended("long", 10*time.Second)
	require.True(t, g.MayTake(now, "long", false, now.Add(time.Minute)), "the instance does not stop")
	g.Stop(end)
	require.False(t, g.MayTake(now, "long", false, now.Add(time.Minute)), "it would be cancelled")
	require.True(t, g.MayTake(now, "long", false, end), "its own limit ends it")
	require.False(t, g.MayTake(now, "unknown", false, end.Add(time.Second)), "it may take until its limit")
	require.True(t, g.MayTake(now, "unknown", false, end.Add(-time.Second)))
	require.True(t, g.MayTake(now, "unknown", true, end.Add(time.Second)), "a nested call")
	require.False(t, g.MayTake(now, "long", true, now.Add(time.Minute)), "a nested call that is known to be long")
}
