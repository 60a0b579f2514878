package berylcalls

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Two kinds of requests run on one server all the time; only one of them makes
// calls.
func TestCallsAreTracedToTheRuleThatMakesThem(t *testing.T) {
	c := New()
	r := rand.New(rand.NewPCG(1, 2))
	now := time.Unix(1_000, 0)
	ends := map[time.Time]string{}
	for range 12000 {
		now = now.Add(5 * time.Millisecond)
		for at, rule := range ends {
			if !at.After(now) {
				c.End(now, rule)
				delete(ends, at)
			}
		}
		if r.Float64() < 0.2 {
			c.Start(now, "plain")
			ends[now.Add(80*time.Millisecond+time.Duration(r.IntN(1000)))] = "plain"
		}
		if r.Float64() < 0.2 {
			c.Start(now, "calling")
			ends[now.Add(60*time.Millisecond+time.Duration(r.IntN(1000)))] = "calling"
		}
		if c.active["calling"] > 0 && r.Float64() < 0.1*float64(c.active["calling"]) {
			c.Call(now, "below")
		}
	}
	require.Equal(t, []string{"below"}, c.Of("calling"))
	require.Empty(t, c.Of("plain"))
}

// Requests are stuck in their calls for seconds: the link must not be forgotten
// just when the shortage below is at its worst.
func TestCallsOfStuckRequestsAreNotForgotten(t *testing.T) {
	c := New()
	now := time.Unix(1_000, 0)
	for range 200 {
		c.Start(now, "calling")
		c.Call(now.Add(10*time.Millisecond), "below")
		c.Start(now.Add(20*time.Millisecond), "calling")
		now = now.Add(3 * time.Second)
		c.End(now, "calling")
		c.End(now, "calling")
	}
	require.Equal(t, []string{"below"}, c.Of("calling"))
}
