// Package berylshedding measures how much of what arrives at a backend server it rejects.
//
// One server that rejects requests is avoided. When all servers of a service reject most of
// what arrives, there is nowhere to go: every request that makes several calls to the service
// is likely to fail after all services above have worked for it. The share is known beside each
// server within a second, and is told to the other instances while it is not 0.
package berylshedding

import (
	"math"
	"time"
)

// Meter measures the share of arrivals that one backend server rejects. It is not safe for
// concurrent use.
type Meter struct {
	arrivals, rejected float64 // decaying counts
	updated            time.Time
	told               bool      // whether Changed last reported shedding
	toldAt             time.Time // when that was
}

const (
	decayTime   = 0.3 // seconds, time constant of the counts
	minArrivals = 3.0 // decayed count below which the share counts as 0

	minTellInterval = 400 * time.Millisecond // between two changes that are told
)

// Record records an arrival and whether the server rejected it.
func (m *Meter) Record(now time.Time, rejected bool) {
	m.advance(now)
	m.arrivals++
	if rejected {
		m.rejected++
	}
}

// Share returns the share of the latest arrivals that were rejected. It is 0 while too few arrive, so
// that requests are then sent to find out.
func (m *Meter) Share(now time.Time) float64 {
	m.advance(now)
	if m.arrivals < minArrivals {
		return 0
	}
	return m.rejected / m.arrivals
}

// Changed reports whether the share has passed MinShare since it last did, and a short while has
// gone by. The change should then be told.
func (m *Meter) Changed(now time.Time) bool {
	sheds := m.Share(now) >= MinShare
	if sheds == m.told || (!m.toldAt.IsZero() && now.Sub(m.toldAt) < minTellInterval) {
		return false
	}
	m.told, m.toldAt = sheds, now
	return true
}

func (m *Meter) advance(now time.Time) {
	if dt := now.Sub(m.updated).Seconds(); dt > 0 {
		decay := math.Exp(-dt / decayTime)
		m.arrivals *= decay
		m.rejected *= decay
		m.updated = now
	}
}

// MinShare is the mean share over the servers of a service from which on the service counts as
// shedding. Below it, retries carry all calls within their budget.
const MinShare = 0.15
