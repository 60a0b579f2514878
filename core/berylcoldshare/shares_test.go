package berylcoldshare_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"berylspan/core/berylcoldshare"
	"berylspan/core/beryllifetime"

	"github.com/stretchr/testify/require"
)

const (
	senders   = 84
	tick      = 10 * time.Millisecond
	perSecond = 12.0
)

// offers replays the load: a server comes back cold for 3 s, and each of the senders, 21 of them
// in its data centre, has a request for it in every tick. It returns the offers by second.
func offers(t *testing.T, seconds int) []int {
	t.Helper()
	r := rand.New(rand.NewPCG(1, 2))
	begin := time.Unix(1_000, 0)
	out := make([]int, seconds)
	shares := make([]*berylcoldshare.Shares, senders)
	for i := range shares {
		shares[i] = berylcoldshare.New(r.Float64)
	}
	c := berylcoldshare.Cold{Lifetime: beryllifetime.Lifetime{ID: "i-1", BornMs: 1}, Until: begin.Add(3 * time.Second), PerSecond: perSecond, InZone: senders / 4, Elsewhere: senders - senders/4}
	for d := time.Duration(0); d < time.Duration(seconds)*time.Second; d += tick {
		for i, s := range shares {
			now := begin.Add(d)
			c.SameZone = i < senders/4
			if !berylcoldshare.IsLimited(now, c.Until) || s.Allow(now, c) {
				s.Offered(now, c)
				out[int(d/time.Second)]++
			}
		}
	}
	return out
}

func TestOffersStayNearWhatAColdServerTakes(t *testing.T) {
	got := offers(t, 6)
	for second := range 3 {
		require.InDelta(t, 1.5*perSecond, got[second], perSecond, "of %d without shares", senders*100)
	}
	require.Greater(t, got[3], got[2], "more once it is warm")
	require.Less(t, got[3], 40*got[2], "but not all at once")
	require.Equal(t, int(senders*(time.Second/tick)), got[5])
}

func TestRefusedServerIsLeftAlone(t *testing.T) {
	s := berylcoldshare.New(func() float64 { return 0.5 })
	now := time.Unix(1_000, 0)
	lifetime := beryllifetime.Lifetime{ID: "i-1", BornMs: 1}
	require.False(t, s.IsRefused(now, lifetime))
	s.Refused(now, lifetime, time.Second)
	require.True(t, s.IsRefused(now.Add(time.Second), lifetime))
	require.False(t, s.IsRefused(now.Add(1600*time.Millisecond), lifetime))
	require.False(t, s.IsRefused(now, beryllifetime.Lifetime{ID: "i-1", BornMs: 2}), "the next lifetime")
}
