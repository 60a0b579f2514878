// Package beryllender implements the central token bucket of a workspace, from
// which the instances of a fleet borrow tokens.
//
// Fixed shares of the rate do not work for a workspace with sparse traffic: with
// tens of requests per second over tens of instances, requests that arrive unevenly
// are refused although their sum is within the rate. Instead, one instance holds
// the only bucket and lends small batches of tokens to those that receive requests.
package beryllender

import (
	"math"
	"time"
)

// Lender is the token bucket of one workspace. It is not safe for concurrent use.
type Lender struct {
	rate       float64 // tokens per second, less the reserved share
	burst      float64
	tokens     float64
	refilledAt time.Time
}

const (
	outstandingFraction = 0.15 // fraction of the burst held back for tokens that are lent but not used yet
	minCapacityTokens   = 1.0  // a smaller bucket could never lend a token
)

// New returns an empty bucket, because a previous lender may have lent all tokens
// just before.
func New(now time.Time, rate, burst float64) *Lender {
	return &Lender{rate: rate, burst: burst, refilledAt: now}
}

// SetLimits changes the rate and burst of the workspace. reservedShare is the share
// that is kept for instances that cannot reach this lender. If there are several
// lenders, each for some of the instances, each gets at most an even share of the
// burst: the demand at the others is known too late to divide the burst by demand.
func (l *Lender) SetLimits(now time.Time, rate, burst, reservedShare float64, lenderCount int) {
	l.refill(now)
	l.rate, l.burst = rate*(1-reservedShare), burst*min(1-reservedShare, 1/float64(max(lenderCount, 1)))
	l.tokens = min(l.tokens, l.capacity())
}

func (l *Lender) capacity() float64 { return max(minCapacityTokens, l.burst*(1-outstandingFraction)) }

func (l *Lender) refill(now time.Time) {
	dt := now.Sub(l.refilledAt).Seconds()
	if dt <= 0 {
		return
	}
	l.refilledAt = now
	l.tokens = min(l.capacity(), l.tokens+dt*l.rate)
}

// Lend takes up to want tokens from the bucket and returns how many it lent and, if
// none, how long until one is available.
func (l *Lender) Lend(now time.Time, want int) (int, time.Duration) {
	l.refill(now)
	n := min(want, int(l.tokens))
	if n > 0 {
		l.tokens -= float64(n)
		return n, 0
	}
	if l.rate <= 0 {
		return 0, time.Second
	}
	return 0, time.Duration(math.Ceil((1 - l.tokens) / l.rate * float64(time.Second)))
}
