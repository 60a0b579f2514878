package berylconnectionlimit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestChoose(t *testing.T) {
	now := time.Unix(1000, 0)
	idle := func(s int) Conn { return Conn{Since: now.Add(-time.Duration(s) * time.Second)} }
	arriving := func(s int) Conn {
		c := idle(s)
		c.Arriving = true
		return c
	}
	for _, c := range []struct {
		name  string
		n     int
		conns []Conn
		want  []int
	}{
		{"none below the limit", 63, []Conn{idle(5)}, nil},
		{"the longest idle first", 64, []Conn{idle(1), idle(9), idle(5)}, []int{1, 2}},
		{"idle ones before slow ones", 64, []Conn{arriving(60), idle(1), arriving(50)}, []int{1, 0}},
		{"requests that have just begun to arrive are kept", 64, []Conn{arriving(0)}, nil},
		{"more than there are above the limit", 65, []Conn{idle(1), idle(2), idle(3), idle(4)}, []int{3, 2, 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := Limit{Soft: 64}.Choose(c.n, c.conns, now)
			require.Equal(t, len(c.want), len(got))
			require.Subset(t, c.want, got)
			if len(c.want) > 0 {
				require.Equal(t, c.want, got)
			}
		})
	}
}

// Callers that open connections and send nothing take every place; ordinary ones come among
// them and need theirs only until their request has arrived.
func TestOrdinaryCallerFindsAPlaceAmongConnectionsOpenedInALoop(t *testing.T) {
	limit := For(400)
	now := time.Unix(1000, 0)
	var open []Conn
	for range 10_000 {
		now = now.Add(time.Millisecond)
		for _, i := range limit.Choose(len(open), open, now) {
			require.GreaterOrEqual(t, now.Sub(open[i].Since), 100*time.Millisecond, "time to send a request")
			open[i].Since = time.Time{}
		}
		kept := open[:0]
		for _, c := range open {
			if !c.Since.IsZero() {
				kept = append(kept, c)
			}
		}
		require.True(t, limit.Accepts(len(kept)))
		open = append(kept, Conn{Since: now})
	}
}

func TestZeroSetsNoLimit(t *testing.T) {
	limit := For(0)
	require.Empty(t, limit.Choose(100_000, []Conn{{}}, time.Now()))
	require.True(t, limit.Accepts(100_000))
}
