package berylinflight_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"berylspan/core/berylinflight"

	"github.com/stretchr/testify/require"
)

const (
	tick = 5 * time.Millisecond
	need = 0.4 // seconds of calls of a request
	aim  = 600 * time.Millisecond
	give = 3 * time.Second // after which a request fails
)

// chain is a server whose requests each need 400 ms of calls. The service below
// works on room of them at once; all others wait there.
type chain struct {
	f    *berylinflight.Inflight
	now  time.Time
	runs []run
	free bool // without a bound
}

type run struct {
	begun time.Time
	left  float64 // seconds of calls that it still needs
}

// play offers a number of requests a second for some seconds and returns how many
// ended in time and how many did not.
func (c *chain) play(seconds, perSecond int, room float64) (good, bad int) {
	offered := 0.0
	for range seconds * int(time.Second/tick) {
		c.now = c.now.Add(tick)
		for offered += float64(perSecond) * tick.Seconds(); offered >= 1; offered-- {
			if c.free || c.f.May("root") {
				c.f.Begin(c.now, "root", 0, aim)
				c.runs = append(c.runs, run{c.now, need})
			}
		}
		n := float64(len(c.runs))
		speed := min(1, room/max(n, 1))
		c.f.Called(time.Duration(n*float64(tick)), time.Duration((1-speed)*n*float64(tick)))
		rest := c.runs[:0]
		for _, r := range c.runs {
			r.left -= speed * tick.Seconds()
			took := c.now.Sub(r.begun)
			if r.left > 0 && took < give {
				rest = append(rest, r)
				continue
			}
			late := r.left > 0 || took > aim
			c.f.End(c.now, "root", late)
			if late {
				bad++
			} else {
				good++
			}
		}
		c.runs = rest
	}
	return good, bad
}

func newChain() *chain {
	return &chain{f: berylinflight.New(), now: time.Unix(100, 0)}
}

func TestNothingIsBoundWhileRequestsEndWell(t *testing.T) {
	c := newChain()
	good, bad := c.play(5, 40, 100)
	require.Zero(t, c.f.Limit("root"))
	require.Zero(t, bad)
	require.GreaterOrEqual(t, good, 5*40-20)
}

// Only five requests fit below of the sixteen that would run.
func TestDeepServiceOverloaded(t *testing.T) {
	c := newChain()
	c.play(5, 40, 5)
	good, bad := c.play(20, 40, 5)
	fits := int(20 * 5 / need)
	require.GreaterOrEqual(t, good, fits*7/10, "of what the service below can take")
	without := newChain()
	without.free = true
	without.play(5, 40, 5)
	_, before := without.play(20, 40, 5)
	require.Less(t, bad, before/4)
}

// The instance starts in the middle of the overload and knows nothing.
func TestAnInstanceThatStartsUnderOverloadRecovers(t *testing.T) {
	c := newChain()
	c.play(2, 100, 5)
	c.f = berylinflight.New()
	for range c.runs {
		c.f.Begin(c.now, "root", 0, aim)
	}
	c.play(6, 100, 5)
	good, bad := c.play(10, 100, 5)
	require.GreaterOrEqual(t, good, int(10*5/need)/2)
	require.Less(t, bad, good)
}

func TestTheBoundEndsWithTheOverload(t *testing.T) {
	c := newChain()
	c.play(5, 40, 5)
	require.Positive(t, c.f.Limit("root"))
	c.play(5, 40, 100)
	good, _ := c.play(5, 40, 100)
	require.GreaterOrEqual(t, good, 5*40*9/10)
}

// A server that fails by itself gets no better when less runs on it.
func TestFailuresWithoutWaitingCallsBindNothing(t *testing.T) {
	f := berylinflight.New()
	now := time.Unix(100, 0)
	for range 2000 {
		now = now.Add(10 * time.Millisecond)
		f.Begin(now, "root", 0, aim)
		now = now.Add(10 * time.Millisecond)
		f.End(now, "root", true)
		require.True(t, f.May("root"))
	}
}

// Calls wait, but the requests of this rule end well: they do not make them.
func TestRulesThatEndWellAreNotBound(t *testing.T) {
	f := berylinflight.New()
	now := time.Unix(100, 0)
	for range 2000 {
		now = now.Add(10 * time.Millisecond)
		f.Begin(now, "plain", 0, aim)
		f.Called(time.Second, time.Second)
		now = now.Add(10 * time.Millisecond)
		f.End(now, "plain", false)
		require.True(t, f.May("plain"))
	}
}

// Eight of a rule run at a time on average, for 400 ms, and calls wait a quarter of
// it. One in fifteen fails whatever runs beside it, less than is tolerated.
func TestFewFailuresBoundLittle(t *testing.T) {
	asked, refused := 0, 0
	for seed := range uint64(10) {
		f := berylinflight.New()
		r := rand.New(rand.NewPCG(seed, 1))
		now := time.Unix(100, 0)
		running := 0
		for range 100 * int(time.Second/tick) {
			now = now.Add(tick)
			for range running {
				if r.Float64() < tick.Seconds()/0.4 {
					f.Called(400*time.Millisecond, 100*time.Millisecond)
					f.End(now, "root", r.IntN(15) == 0)
					running--
				}
			}
			if r.Float64() > 20*tick.Seconds() {
				continue
			}
			asked++
			if !f.May("root") {
				refused++
				continue
			}
			f.Begin(now, "root", 0, aim)
			running++
		}
	}
	require.Less(t, float64(refused), 0.05*float64(asked), "of %d", asked)
}
