// Package beryltiming holds the durations on which the ownership of shards and the
// expiry of granted tokens depend, and the margins for clock drift.
package beryltiming

import "time"

// Timing is the durations of one fleet; every daemon must use the same values.
// PromiseTTL is how long a voter's promise binds it. BatchTTL is the longest
// lifetime of a batch of tokens. MaxClockDrift is the largest difference between
// the rates of two clocks, relative to one of them. AbstainAfterRestart makes a
// restarted voter abstain for the length of a promise, because it has lost the
// promises that it gave before; only tests that show why this is needed set it to
// false.
type Timing struct {
	PromiseTTL          time.Duration
	BatchTTL            time.Duration
	MaxClockDrift       float64
	AbstainAfterRestart bool
}

// Default returns the durations that the daemons use.
func Default() Timing {
	return Timing{PromiseTTL: 1500 * time.Millisecond, BatchTTL: time.Second, MaxClockDrift: 0.0005, AbstainAfterRestart: true}
}

// ShortenForDrift returns d, less the margin for clock drift, for the side that
// must stop first.
func (t Timing) ShortenForDrift(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - t.MaxClockDrift))
}

// ExtendForDrift returns d, plus the margin for clock drift, for the side that must
// wait until the other has stopped.
func (t Timing) ExtendForDrift(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + t.MaxClockDrift))
}
