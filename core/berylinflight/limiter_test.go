package berylinflight_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"berylspan/core/berylinflight"

	"github.com/stretchr/testify/require"
)

const (
	tick     = 5 * time.Millisecond
	callTime = 0.4 // seconds of nested calls that each request needs
	target   = 600 * time.Millisecond
	timeout  = 3 * time.Second // after which a request fails
)

// simulation is a backend server whose requests each need 400 ms of nested calls. The
// called service has a number of slots; requests beyond these wait in its queue.
type simulation struct {
	limiter   *berylinflight.Limiter
	now       time.Time
	running   []request
	unlimited bool // run without the limiter
}

type request struct {
	begun time.Time
	left  float64 // seconds of nested calls that it still needs
}

// run offers perSecond requests per second to a called service with the given slots
// and returns how many ended in time and how many did not.
func (s *simulation) run(seconds, perSecond int, slots float64) (good, bad int) {
	offered := 0.0
	for range seconds * int(time.Second/tick) {
		s.now = s.now.Add(tick)
		for offered += float64(perSecond) * tick.Seconds(); offered >= 1; offered-- {
			if s.unlimited || s.limiter.Allow("root") {
				s.limiter.Begin(s.now, "root", 0, target)
				s.running = append(s.running, request{s.now, callTime})
			}
		}
		n := float64(len(s.running))
		speed := min(1, slots/max(n, 1))
		s.limiter.RecordCall(time.Duration(n*float64(tick)), time.Duration((1-speed)*n*float64(tick)))
		unfinished := s.running[:0]
		for _, r := range s.running {
			r.left -= speed * tick.Seconds()
			took := s.now.Sub(r.begun)
			if r.left > 0 && took < timeout {
				unfinished = append(unfinished, r)
				continue
			}
			missed := r.left > 0 || took > target
			s.limiter.End(s.now, "root", missed)
			if missed {
				bad++
			} else {
				good++
			}
		}
		s.running = unfinished
	}
	return good, bad
}

func newSimulation() *simulation {
	return &simulation{limiter: berylinflight.New(), now: time.Unix(100, 0)}
}

func TestNoLimitWhileRequestsSucceedInTime(t *testing.T) {
	s := newSimulation()
	good, bad := s.run(5, 40, 100)
	require.Zero(t, s.limiter.Limit("root"))
	require.Zero(t, bad)
	require.GreaterOrEqual(t, good, 5*40-20)
}

// The called service has slots for five of the sixteen requests that would run.
func TestLimitKeepsGoodputWhileCalledServiceIsOverloaded(t *testing.T) {
	s := newSimulation()
	s.run(5, 40, 5)
	good, bad := s.run(20, 40, 5)
	capacity := int(20 * 5 / callTime)
	require.GreaterOrEqual(t, good, capacity*7/10, "requests in time are below 70 % of the capacity of the called service")
	unlimited := newSimulation()
	unlimited.unlimited = true
	unlimited.run(5, 40, 5)
	_, badUnlimited := unlimited.run(20, 40, 5)
	require.Less(t, bad, badUnlimited/4)
}

// An instance that starts during an overload has no observations yet, while requests
// are already running.
func TestInstanceStartedUnderOverloadRecovers(t *testing.T) {
	s := newSimulation()
	s.run(2, 100, 5)
	s.limiter = berylinflight.New()
	for range s.running {
		s.limiter.Begin(s.now, "root", 0, target)
	}
	s.run(6, 100, 5)
	good, bad := s.run(10, 100, 5)
	require.GreaterOrEqual(t, good, int(10*5/callTime)/2)
	require.Less(t, bad, good)
}

func TestLimitEndsWithTheOverload(t *testing.T) {
	s := newSimulation()
	s.run(5, 40, 5)
	require.Positive(t, s.limiter.Limit("root"))
	s.run(5, 40, 100)
	good, _ := s.run(5, 40, 100)
	require.GreaterOrEqual(t, good, 5*40*9/10)
}

// A backend server that fails by itself does not recover when fewer requests run on
// it.
func TestFailuresWithoutWaitingCallsSetNoLimit(t *testing.T) {
	l := berylinflight.New()
	now := time.Unix(100, 0)
	for range 2000 {
		now = now.Add(10 * time.Millisecond)
		l.Begin(now, "root", 0, target)
		now = now.Add(10 * time.Millisecond)
		l.End(now, "root", true)
		require.True(t, l.Allow("root"))
	}
}

// Nested calls of the backend server wait, but requests of this rule do not make them
// and succeed in time.
func TestRulesWhoseRequestsSucceedAreNotLimited(t *testing.T) {
	l := berylinflight.New()
	now := time.Unix(100, 0)
	for range 2000 {
		now = now.Add(10 * time.Millisecond)
		l.Begin(now, "plain", 0, target)
		l.RecordCall(time.Second, time.Second)
		now = now.Add(10 * time.Millisecond)
		l.End(now, "plain", false)
		require.True(t, l.Allow("plain"))
	}
}

// On average eight requests of a rule run concurrently, for 400 ms each, and their
// calls wait a quarter of that. One request in fifteen fails regardless of the load,
// which is less than is tolerated.
func TestTolerableFailuresRefuseFewRequests(t *testing.T) {
	offered, refused := 0, 0
	for seed := range uint64(10) {
		l := berylinflight.New()
		rng := rand.New(rand.NewPCG(seed, 1))
		now := time.Unix(100, 0)
		running := 0
		for range 100 * int(time.Second/tick) {
			now = now.Add(tick)
			for range running {
				if rng.Float64() < tick.Seconds()/0.4 {
					l.RecordCall(400*time.Millisecond, 100*time.Millisecond)
					l.End(now, "root", rng.IntN(15) == 0)
					running--
				}
			}
			if rng.Float64() > 20*tick.Seconds() {
				continue
			}
			offered++
			if !l.Allow("root") {
				refused++
				continue
			}
			l.Begin(now, "root", 0, target)
			running++
		}
	}
	require.Less(t, float64(refused), 0.05*float64(offered), "requests refused of %d offered", offered)
}
