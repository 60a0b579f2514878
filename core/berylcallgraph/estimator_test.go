package berylcallgraph

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// server simulates requests and their nested calls in steps of 5 ms.
type server struct {
	*Estimator
	r     *rand.Rand
	now   time.Time
	ends  map[time.Time]string
	calls []time.Time
}

func newServer() *server {
	return &server{Estimator: New(), r: rand.New(rand.NewPCG(1, 2)), now: time.Unix(1_000, 0), ends: map[time.Time]string{}}
}

// begin starts a request of rule that ends after about d.
func (s *server) begin(rule string, d time.Duration) {
	s.RequestStarted(s.now, rule)
	s.ends[s.now.Add(d+time.Duration(s.r.Int64N(1000)))] = rule
}

func (s *server) step() {
	s.now = s.now.Add(5 * time.Millisecond)
	for at, rule := range s.ends {
		if !at.After(s.now) {
			s.RequestEnded(s.now, rule)
			delete(s.ends, at)
		}
	}
	s.calls = slices.DeleteFunc(s.calls, func(at time.Time) bool {
		if at.After(s.now) {
			return false
		}
		s.CallMade(s.now, "below")
		return true
	})
}

// Requests of two rules run on one server all the time. Only those of one rule
// make calls, at random times while they run; the calls must not be attributed to
// the other rule.
func TestCallsAreAttributedToTheRuleThatMakesThem(t *testing.T) {
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
		require.Equal(t, []string{"below"}, s.CallsOf("calling"))
		require.Empty(t, s.CallsOf("plain"))
	}
}

// All requests are blocked in their nested calls for seconds. The estimate must
// not decay meanwhile: it is needed most while the called service is short of
// capacity.
func TestEstimateDoesNotDecayWhileRequestsAreBlocked(t *testing.T) {
	c := New()
	now := time.Unix(1_000, 0)
	for range 200 {
		c.RequestStarted(now, "calling")
		c.CallMade(now.Add(10*time.Millisecond), "below")
		c.RequestStarted(now.Add(20*time.Millisecond), "calling")
		now = now.Add(3 * time.Second)
		c.RequestEnded(now, "calling")
		c.RequestEnded(now, "calling")
	}
	require.Equal(t, []string{"below"}, c.CallsOf("calling"))
}

// Requests of one rule become blocked and make few calls while requests of
// another rule run as before. The calls must not be attributed to the other rule.
func TestCallsAreNotAttributedToUnblockedRules(t *testing.T) {
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
	require.Equal(t, []string{"below"}, s.CallsOf("stuck"))
	require.Empty(t, s.CallsOf("plain"))
}
