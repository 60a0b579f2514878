// Package berylarrivals estimates arrival rates.
package berylarrivals

import (
	"math"
	"time"
)

// Arrivals estimates an arrival rate as an exponentially decaying average. The zero
// value has recorded no arrivals. It is not safe for concurrent use.
type Arrivals struct {
	rate      float64
	updatedAt time.Time
}

const timeConstantSeconds = 1.0 // of the exponential decay

// Add records n arrivals.
func (a *Arrivals) Add(now time.Time, n int) {
	a.rate = a.PerSecond(now) + float64(n)/timeConstantSeconds
	a.updatedAt = now
}

// PerSecond returns the estimated arrivals per second.
func (a *Arrivals) PerSecond(now time.Time) float64 {
	return a.rate * math.Exp(-max(0, now.Sub(a.updatedAt).Seconds())/timeConstantSeconds)
}
