package beryllimit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// drive simulates a server that takes cost per call and queues calls beyond its
// slots. It always runs as many calls as the limit allows.
func drive(l *Limit, now time.Time, slots int, cost, span time.Duration) time.Time {
	for end := now.Add(span); now.Before(end); {
		n := max(l.Current(), 1)
		took := cost
		if n > slots {
			took = cost * time.Duration(n) / time.Duration(slots)
		}
		// In each iteration every running call ends once.
		for range n {
			now = now.Add(took / time.Duration(n))
			l.Record(now, took, took, n, false)
		}
	}
	return now
}

func TestLimitFollowsTheSlots(t *testing.T) {
	scenarios := []struct {
		name  string
		start int
		slots int
		cost  time.Duration
		slow  time.Duration // cost in a second run, 0 for no second run
	}{
		{"a hint that is right", 30, 30, 100 * time.Millisecond, 0},
		{"a hint that is too low", 5, 30, 100 * time.Millisecond, 0},
		{"a hint that is too high", 200, 30, 100 * time.Millisecond, 0},
		{"a server that becomes slower keeps its slots", 30, 30, 100 * time.Millisecond, 400 * time.Millisecond},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			l := New(Initial(s.start))
			now := drive(l, time.Unix(0, 0), s.slots, s.cost, 30*time.Second)
			if s.slow > 0 {
				drive(l, now, s.slots, s.slow, 30*time.Second)
			}
			t.Logf("limit %d for %d slots", l.Current(), s.slots)
			// Full throughput needs nine tenths of the slots; fewer calls must queue
			// inside the server than run.
			require.GreaterOrEqual(t, l.Current(), s.slots*9/10)
			require.LessOrEqual(t, l.Current(), s.slots*2)
		})
	}
}
