// Package beryllender hands out a workspace's tokens to the instances of a
// fleet.
//
// It answers a workspace whose requests are spread thin: with tens of requests a
// second over tens of instances, fixed parts of the rate refuse whatever comes
// unevenly, although the sum is within the rate. One instance keeps the only
// bucket and lends small numbers of tokens to those that have requests.
package beryllender

import (
	"math"
	"time"
)

// Lender is the bucket of one workspace. It is not safe for concurrent use.
type Lender struct {
	rate   float64 // tokens per second, less what is reserved
	burst  float64
	tokens float64
	at     time.Time
}

const (
	lentOut  = 0.15 // part of the burst kept back for tokens that are lent and not used yet
	leastCap = 1.0  // tokens a bucket holds at least
)

// New returns an empty bucket: whoever lent before may just have given
// everything away.
func New(now time.Time, rate, burst float64) *Lender {
	return &Lender{rate: rate, burst: burst, at: now}
}

// Set changes the limits; reserved is the part that instances use which cannot
// ask. Of several lenders, each for some of the instances, every one has an even
// part of the burst: what the others are asked for is known too late for that.
func (l *Lender) Set(now time.Time, rate, burst, reserved float64, lenders int) {
	l.fill(now)
	l.rate, l.burst = rate*(1-reserved), burst*min(1-reserved, 1/float64(max(lenders, 1)))
	l.tokens = min(l.tokens, l.most())
}

func (l *Lender) most() float64 { return max(leastCap, l.burst*(1-lentOut)) }

func (l *Lender) fill(now time.Time) {
	dt := now.Sub(l.at).Seconds()
	if dt <= 0 {
		return
	}
	l.at = now
	l.tokens = min(l.most(), l.tokens+dt*l.rate)
}

// Lend returns how many of the tokens asked for are lent and, when none are, how
// long until there is one.
func (l *Lender) Lend(now time.Time, want int) (int, time.Duration) {
	l.fill(now)
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
