package beryladmission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// For any sequence of arrivals, ends and removals: slots are never exceeded, each request
// ends exactly once, none starts after its deadline, and a more important request is never
// expected to wait longer than a less important one.
func TestInvariantsOfAdmission(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 8).Draw(t, "slots")
		c := New[int](limit)
		now := startTime()
		requests, ends := map[int]Request{}, map[int]int{}
		arrivedAt, waiting := map[int]time.Time{}, map[int]bool{}
		var running []int
		finish := func(id int, what string) {
			ends[id]++
			require.Equal(t, 1, ends[id], "request %d: %s", id, what)
		}
		start := func(id int) {
			finish(id, "started")
			running = append(running, id)
			require.LessOrEqual(t, len(running), limit)
			require.Less(t, now.Sub(arrivedAt[id]), requests[id].TimeToDeadline, "request %d started after its deadline", id)
		}
		runWaiting := func() {
			for {
				id, expired, ok := c.Next(now)
				if !ok {
					return
				}
				delete(waiting, id)
				if expired {
					finish(id, "expired")
				} else {
					start(id)
				}
			}
		}
		for id := range rapid.IntRange(1, 150).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "gap")) * time.Millisecond)
			switch action := rapid.IntRange(0, 9).Draw(t, "action"); {
			case action < 6:
				target := time.Duration(rapid.IntRange(-100, 500).Draw(t, "target")) * time.Millisecond
				r := Request{
					Rank: rapid.IntRange(0, 4).Draw(t, "rank"), Nested: rapid.Bool().Draw(t, "nested"), Kind: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "kind"),
					TimeToTarget: target, TimeToDeadline: max(target, 0) + time.Duration(rapid.IntRange(1, 1000).Draw(t, "more"))*time.Millisecond,
				}
				requests[id], arrivedAt[id] = r, now
				less := r
				less.Rank++
				require.LessOrEqual(t, c.ExpectedWait(now, r), c.ExpectedWait(now, less))
				switch decision, _ := c.Arrive(now, r, id); decision {
				case Start:
					start(id)
				case Wait:
					waiting[id] = true
				case Refuse:
					finish(id, "refused")
				}
			case action < 9 && len(running) > 0:
				i := rapid.IntRange(0, len(running)-1).Draw(t, "ended")
				ended := running[i]
				running = append(running[:i], running[i+1:]...)
				c.Done(requests[ended], time.Duration(rapid.IntRange(1, 200).Draw(t, "took"))*time.Millisecond, true)
				runWaiting()
			default:
				for other := range waiting {
					require.True(t, c.Remove(func(id int) bool { return id == other }))
					finish(other, "removed")
					delete(waiting, other)
					break
				}
			}
			busy, queued, _ := c.State()
			require.Equal(t, len(running), busy)
			require.Equal(t, len(waiting), queued)
		}
	})
}
