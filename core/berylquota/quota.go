// Package berylquota shares a workspace's rate among the instances of a fleet.
//
// It answers one workspace that sends many times its rate through all instances
// at once. Every instance holds a token bucket with its part of the rate and
// burst. Parts follow what each instance is asked for, which instances tell each
// other; the last known demand of an instance that cannot be heard keeps its
// part reserved, so that parts on the two sides of a partition stay within the
// rate together.
package berylquota

import (
	"time"

	"berylspan/core/berylarrivals"
)

// Quota is one workspace at one instance. It is not safe for concurrent use.
type Quota struct {
	rate, burst float64 // of the whole fleet
	part        float64 // of this instance
	tokens      float64
	demand      berylarrivals.Arrivals // requests asked for here
	filled      time.Time
}

const (
	leastCap = 1.0 // tokens that a bucket holds at least
)

// New returns an empty quota for an instance in a fleet of n.
func New(now time.Time, rate, burst float64, n int) *Quota {
	return &Quota{rate: rate, burst: burst, part: 1 / float64(max(n, 1)), filled: now}
}

// Set changes the rate and burst of the fleet. Tokens above the new burst go.
func (q *Quota) Set(now time.Time, rate, burst float64) {
	q.fill(now)
	q.rate, q.burst = rate, burst
	q.tokens = min(q.tokens, q.most())
}

func (q *Quota) most() float64 { return max(leastCap, q.burst*q.part) }

// Demand returns the requests per second asked for here.
func (q *Quota) Demand(now time.Time) float64 {
	return q.demand.PerSecond(now)
}

// Share sets this instance's part from the demand of the other instances
// together and the size of the fleet. While all of it is within the rate, what
// is left over is shared evenly.
func (q *Quota) Share(now time.Time, others float64, n int) {
	q.fill(now)
	own := q.Demand(now)
	sum := own + others
	switch {
	case q.rate <= 0:
		q.part = 1
	case sum >= q.rate:
		q.part = own / sum
	default:
		q.part = (own + (q.rate-sum)/float64(max(n, 1))) / q.rate
	}
	q.tokens = min(q.tokens, q.most())
}

func (q *Quota) fill(now time.Time) {
	dt := now.Sub(q.filled).Seconds()
	if dt <= 0 {
		return
	}
	q.filled = now
	q.tokens = min(q.most(), q.tokens+dt*q.rate*q.part)
}

// Count records a request that was asked for here.
func (q *Quota) Count(now time.Time) { q.demand.Add(now, 1) }

// Take takes a token for a request. When there is none it returns how long until
// there is one.
func (q *Quota) Take(now time.Time) (bool, time.Duration) {
	q.fill(now)
	if q.tokens >= 1 {
		q.tokens--
		return true, 0
	}
	speed := max(q.rate*q.part, 0.01)
	return false, time.Duration((1 - q.tokens) / speed * float64(time.Second))
}

// Empty takes all tokens: others were had from elsewhere meanwhile.
func (q *Quota) Empty(now time.Time) {
	q.fill(now)
	q.tokens = 0
}
