// Package berylbudget limits the retries of a whole daemon.
package berylbudget

import (
	"math"
	"time"
)

// Budget limits retries to a ratio of successful calls. Unused retries are saved up,
// so that the calls lost with one connection can be retried. It is not safe for
// concurrent use.
type Budget struct {
	tokens      float64
	successRate float64 // successes per second, decaying average
	updated     time.Time
}

const (
	retryRatio  = 0.1              // retries per success
	minCapacity = 10               // retries that can be saved up at any success rate
	window      = 10 * time.Second // time constant of successRate; the retries earned within it can be saved up
)

// New returns a budget that holds minCapacity retries.
func New() *Budget { return &Budget{tokens: minCapacity} }

// RecordSuccess records a call that was answered.
func (b *Budget) RecordSuccess(now time.Time) {
	b.successRate *= math.Exp(-now.Sub(b.updated).Seconds() / window.Seconds())
	b.successRate += 1 / window.Seconds()
	b.updated = now
	capacity := max(minCapacity, b.successRate*window.Seconds()*retryRatio)
	b.tokens = min(capacity, b.tokens+retryRatio)
}

// Take takes one retry from the budget and reports whether there was one.
func (b *Budget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
