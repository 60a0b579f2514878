// Package berylquota divides a workspace's rate among the instances of a fleet.
//
// It handles a workspace that sends many times its rate through all instances at
// once. Each instance holds a token bucket with its share of the rate and burst.
// Shares follow the demand at each instance, which instances report to each other.
// The last known demand of an unreachable instance keeps its share reserved, so that
// the shares on both sides of a partition together stay within the rate.
package berylquota

import (
	"time"

	"berylspan/core/berylarrivals"
)

// Quota is the token bucket of one workspace at one instance. It is not safe for
// concurrent use.
type Quota struct {
	rate, burst float64 // of the whole fleet
	share       float64 // fraction of rate and burst that this instance uses
	tokens      float64
	demand      berylarrivals.Arrivals // requests at this instance, admitted or not
	refilledAt  time.Time
}

const (
	minCapacityTokens = 1.0 // a smaller bucket could never admit a request
)

// New returns an empty bucket with an even share for an instance in a fleet of
// fleetSize.
func New(now time.Time, rate, burst float64, fleetSize int) *Quota {
	return &Quota{rate: rate, burst: burst, share: 1 / float64(max(fleetSize, 1)), refilledAt: now}
}

// SetLimits changes the rate and burst of the whole fleet. Tokens above the new
// capacity are discarded.
func (q *Quota) SetLimits(now time.Time, rate, burst float64) {
	q.refill(now)
	q.rate, q.burst = rate, burst
	q.tokens = min(q.tokens, q.capacity())
}

func (q *Quota) capacity() float64 { return max(minCapacityTokens, q.burst*q.share) }

// Demand returns the requests per second at this instance, admitted or not.
func (q *Quota) Demand(now time.Time) float64 {
	return q.demand.PerSecond(now)
}

// UpdateShare sets this instance's share from its own demand and the total demand at
// the other instances. While the demand at all instances is within the rate, the
// unused rate is divided evenly among them.
func (q *Quota) UpdateShare(now time.Time, otherDemand float64, fleetSize int) {
	q.refill(now)
	ownDemand := q.Demand(now)
	totalDemand := ownDemand + otherDemand
	switch {
	case q.rate <= 0:
		q.share = 1
	case totalDemand >= q.rate:
		q.share = ownDemand / totalDemand
	default:
		q.share = (ownDemand + (q.rate-totalDemand)/float64(max(fleetSize, 1))) / q.rate
	}
	q.tokens = min(q.tokens, q.capacity())
}

func (q *Quota) refill(now time.Time) {
	dt := now.Sub(q.refilledAt).Seconds()
	if dt <= 0 {
		return
	}
	q.refilledAt = now
	q.tokens = min(q.capacity(), q.tokens+dt*q.rate*q.share)
}

// RecordRequest counts a request towards the demand, whether it is admitted or not.
func (q *Quota) RecordRequest(now time.Time) { q.demand.Add(now, 1) }

// Take takes a token for a request. If there is none, it returns how long until one
// is available.
func (q *Quota) Take(now time.Time) (bool, time.Duration) {
	q.refill(now)
	if q.tokens >= 1 {
		q.tokens--
		return true, 0
	}
	refillRate := max(q.rate*q.share, 0.01) // keeps the wait finite at a share of zero
	return false, time.Duration((1 - q.tokens) / refillRate * float64(time.Second))
}

// Drain discards all tokens. It is for use when the instance has obtained tokens
// elsewhere in the meantime.
func (q *Quota) Drain(now time.Time) {
	q.refill(now)
	q.tokens = 0
}
