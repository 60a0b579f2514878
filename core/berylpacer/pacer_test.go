package berylpacer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"berylspan/core/berylpacer"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func ExamplePacer() {
	now := time.Unix(0, 0)
	var p berylpacer.Pacer
	p.SetRate(now, 4)
	fmt.Println(p.Wait(now))
	// Output: 250ms
}

func TestPacerIsOffWithoutRate(t *testing.T) {
	now := time.Unix(0, 0)
	var p berylpacer.Pacer
	for range 1000 {
		p.Take(now)
		require.Zero(t, p.Wait(now))
	}
	p.SetRate(now, 1)
	require.Positive(t, p.Wait(now))
	p.Off()
	require.Zero(t, p.Wait(now))
}

func TestLimitOfZeroStillLetsTheEndBeNoticed(t *testing.T) {
	now := time.Unix(0, 0)
	var p berylpacer.Pacer
	p.SetRate(now, 0)
	require.InDelta(t, 2, p.Wait(now).Seconds(), 0.01)
}

// Requests that did not wait used four fifths of a limit that was as high as their rate.
func TestServerGetsFewerRequestsThanItsNamedLimit(t *testing.T) {
	const rate, seconds = 18, 1000
	r := rand.New(rand.NewPCG(1, 2))
	start := time.Unix(0, 0)
	now := start
	var p berylpacer.Pacer
	p.SetRate(now, rate)
	started := 0
	for now.Sub(start) < seconds*time.Second {
		now = now.Add(time.Duration(r.ExpFloat64() / rate * float64(time.Second)))
		if p.Wait(now) == 0 {
			p.Take(now)
			started++
		}
	}
	require.Greater(t, started, rate*seconds*9/10)
}

// In any 4 s, whatever the arrivals and changes of the rate, no more requests start than the highest rate and the burst allow.
func TestNoWindowExceedsRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const window, burst = 4 * time.Second, 300 * time.Millisecond
		now := time.Unix(0, 0)
		var p berylpacer.Pacer
		highest := 0.0
		var started []time.Time
		set := func() {
			rate := rapid.Float64Range(0.5, 60).Draw(t, "rate")
			highest = max(highest, rate)
			p.SetRate(now, rate)
		}
		set()
		for range 400 {
			gap := rapid.IntRange(0, 60).Draw(t, "gap")
			if rapid.IntRange(0, 29).Draw(t, "idle") == 0 {
				gap *= 20
			}
			now = now.Add(time.Duration(gap) * time.Millisecond)
			if rapid.IntRange(0, 99).Draw(t, "change") == 0 {
				set()
			}
			if p.Wait(now) == 0 {
				p.Take(now)
				started = append(started, now)
			}
		}
		first := 0
		for i, at := range started {
			for at.Sub(started[first]) > window {
				first++
			}
			require.LessOrEqual(t, float64(i-first+1), highest*(window+burst).Seconds()+1.01)
		}
	})
}
