// Package berylstanding keeps what one instance knows of the others.
//
// It answers instances that fail while the list calls them ready: what was seen
// of their answers counts, not what they say of their health. One that failed is
// avoided for a moment and then tried again.
package berylstanding

import (
	"time"

	"berylspan/core/berylplace"
)

// Standing knows instances by the id of their backend server. It is not safe for
// concurrent use.
type Standing struct {
	known map[string]*known
}

type known struct {
	out     int // sent and not ended
	busy    int // told
	atTold  int // out when it was told
	limit   int
	told    time.Time
	holds   map[string]float64   // seconds by rule
	bounds  map[string]time.Time // until when new work of a rule is not offered
	bad     time.Time
	strikes int
	used    time.Time
	sent    time.Time
}

const (
	avoidFor   = 1500 * time.Millisecond // after the first failure
	avoidMost  = 6 * time.Second
	believe    = 2 * time.Second // what an instance told of its load
	holdSmooth = 0.3
	idleAfter  = 10 * time.Second      // without a send, after which what is known of an instance is old
	boundFor   = 60 * time.Millisecond // in which about one of the requests ends that hold a bound
	forget     = 2 * time.Minute
)

// New returns an empty standing.
func New() *Standing { return &Standing{known: map[string]*known{}} }

func (s *Standing) get(now time.Time, id string) *known {
	k := s.known[id]
	if k == nil {
		k = &known{holds: map[string]float64{}, bounds: map[string]time.Time{}}
		s.known[id] = k
	}
	k.used = now
	return k
}

// Sent records that a request was sent.
func (s *Standing) Sent(now time.Time, id string) {
	k := s.get(now, id)
	k.out++
	k.sent = now
}

// Ended records that one has ended.
func (s *Standing) Ended(now time.Time, id string) { s.get(now, id).out-- }

// Told records what an instance says of its line; hold in seconds, 0 unknown.
func (s *Standing) Told(now time.Time, id, rule string, busy, limit int, hold float64) {
	k := s.get(now, id)
	k.busy, k.limit, k.told, k.atTold = busy, limit, now, k.out
	if hold > 0 {
		if old := k.holds[rule]; old > 0 {
			hold = old + holdSmooth*(hold-old)
		}
		k.holds[rule] = hold
	}
}

// Bound records that an instance holds back new work of a rule.
func (s *Standing) Bound(now time.Time, id, rule string) {
	s.get(now, id).bounds[rule] = now.Add(boundFor)
}

// Failed records a send that showed the instance to be out of reach or broken.
func (s *Standing) Failed(now time.Time, id string) {
	k := s.get(now, id)
	if now.Before(k.bad) {
		return
	}
	d := avoidFor << min(k.strikes, 4)
	k.strikes++
	k.bad = now.Add(min(d, avoidMost))
}

// Worked records an answer.
func (s *Standing) Worked(now time.Time, id string) {
	k := s.get(now, id)
	k.strikes = 0
	k.bad = time.Time{}
}

// Candidate returns what placement needs of an instance that runs slots requests
// at once according to the list.
func (s *Standing) Candidate(now time.Time, id, rule string, slots int) berylplace.Candidate {
	k := s.known[id]
	if k == nil {
		return berylplace.Candidate{Limit: float64(slots), Idle: true}
	}
	c := berylplace.Candidate{Limit: float64(slots), Busy: float64(k.out), Hold: k.holds[rule], Distrust: now.Before(k.bad), Bound: now.Before(k.bounds[rule]), Idle: k.out == 0 && now.Sub(k.sent) > idleAfter}
	if now.Sub(k.told) < believe {
		c.Busy = max(float64(k.out), float64(k.busy+k.out-k.atTold))
		if k.limit > 0 {
			c.Limit = float64(k.limit)
		}
	}
	return c
}

// Forget drops instances that were not used for long.
func (s *Standing) Forget(now time.Time) {
	for id, k := range s.known {
		if k.out == 0 && now.Sub(k.used) > forget {
			delete(s.known, id)
		}
	}
}
