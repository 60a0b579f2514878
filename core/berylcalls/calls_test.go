package berylcalls

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// server plays requests and their calls in steps of 5 ms.
type server struct {
	*Calls
	r     *rand.Rand
	now   time.Time
	ends  map[time.Time]string
	calls []time.Time
}

func newServer() *server {
	return &server{Calls: New(), r: rand.New(rand.NewPCG(1, 2)), now: time.Unix(1_000, 0), ends: map[time.Time]string{}}
}

// begin starts a request that ends after about d.
func (s *server) begin(rule string, d time.Duration) {
	s.Start(s.now, rule)
	s.ends[s.now.Add(d+time.Duration(s.r.Int64N(1000)))] = rule
}

func (s *server) step() {
	s.now = s.now.Add(5 * time.Millisecond)
	for at, rule := range s.ends {
		if !at.After(s.now) {
			s.End(s.now, rule)
			delete(s.ends, at)
		}
	}
	s.calls = slices.DeleteFunc(s.calls, func(at time.Time) bool {
		if at.After(s.now) {
			return false
		}
		s.Call(s.now, "below")
		return true
	})
}

// Two kinds of requests run on one server all the time; only one of them makes
// calls, at any time while it runs.
func TestCallsAreTracedToTheRuleThatMakesThem(t *testing.T) {
	for _, perRequest := range []int{1, 4, 11} {
		s := newServer()
		for range 12000 {
			s.step()
			if s.r.Float64() < 0.2 {
				s.begin("plain", 80*time.Millisecond+time.Duration(s.r.Int64N(int64(time.Second))))
			}
			if s.r.Float64() < 0.2 {
				took := 60*time.Millisecond + time.Duration(s.r.Int64N(int64(time.Second)))
				s.begin("calling", took)
				for range perRequest {
					s.calls = append(s.calls, s.now.Add(time.Duration(s.r.Int64N(int64(took)))))
				}
			}
		}
		require.Equal(t, []string{"below"}, s.Of("calling"))
		require.Empty(t, s.Of("plain"))
	}
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

// Stuck requests of one rule make few calls while those of another run on.
func TestCallsAreNotTracedToRulesThatRunOn(t *testing.T) {
	s := newServer()
	for i := range 12000 {
		s.step()
		if s.r.Float64() < 0.1 {
			s.begin("plain", 48*time.Millisecond)
		}
		if s.r.Float64() < 0.6 {
			wait := 5 * time.Millisecond
			if i > 4000 {
				wait = 700 * time.Millisecond
			}
			s.begin("stuck", 4*wait)
			for n := range 3 {
				s.calls = append(s.calls, s.now.Add(time.Duration(n+1)*wait))
			}
		}
	}
	require.Equal(t, []string{"below"}, s.Of("stuck"))
	require.Empty(t, s.Of("plain"))
}
