// Package berylarrivals counts how much arrives a second.
package berylarrivals

import (
	"math"
	"time"
)

// Arrivals is a mean that old arrivals fade from. The zero value has seen none. It
// is not safe for concurrent use.
type Arrivals struct {
	rate float64
	at   time.Time
}

const window = 1.0 // seconds; time constant of the mean

// Add records that n arrived.
func (a *Arrivals) Add(now time.Time, n int) {
	a.rate = a.PerSecond(now) + float64(n)/window
	a.at = now
}

// PerSecond returns how many arrive a second.
func (a *Arrivals) PerSecond(now time.Time) float64 {
	return a.rate * math.Exp(-max(0, now.Sub(a.at).Seconds())/window)
}
