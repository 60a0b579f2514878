// Package beryltimelimit estimates how long a caller has waited already when a request
// arrives.
//
// Callers send the time that they have left. A retry has less left than a first attempt, so
// the time limit of first attempts tells how much has passed. It handles callers that retry
// under overload: without it, each retry would count as new and get the whole target
// latency again. Few requests with another time limit must not shift the estimate, or one
// caller could make all requests of a rule count as late.
package beryltimelimit

import (
	"slices"
	"time"
)

// Estimator estimates the time limit of the first attempts at one rule. It is not safe for
// concurrent use.
type Estimator struct {
	recent [sampleCount]time.Duration // time left of the latest requests
	n      int                        // requests so far
}

const (
	sampleCount = 32
	// firstAttemptQuantile is the quantile of the time left that first attempts have: fewer
	// than a quarter of the requests may have longer limits, and at most three quarters may
	// be retries.
	firstAttemptQuantile = 0.75
)

// Elapsed records a request and returns how long its caller has waited already.
func (e *Estimator) Elapsed(timeLeft time.Duration) time.Duration {
	e.recent[e.n%sampleCount] = timeLeft
	e.n++
	sorted := slices.Clone(e.recent[:min(e.n, sampleCount)])
	slices.Sort(sorted)
	limit := sorted[int(firstAttemptQuantile*float64(len(sorted)-1))]
	return max(0, limit-timeLeft)
}
