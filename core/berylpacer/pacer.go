// Package berylpacer spaces the requests to a backend server that has named the request
// rate that it accepts.
//
// A server in need asks for less than its slots would allow. All requests to it pass one
// instance, so that instance can keep the rate for the whole fleet. A short burst is
// allowed, so that requests that arrive together do not all wait.
package berylpacer

import "time"

// Pacer is a token bucket that is off until a rate is set. The zero value is off. It is not
// safe for concurrent use.
type Pacer struct {
	on         bool
	perSecond  float64
	tokens     float64
	refilledAt time.Time
}

const (
	burstTime    = 300 * time.Millisecond // starts that were not used in this time may be made up for
	minPerSecond = 0.5                    // without any request, no answer would tell that the limit has ended
	tokenEpsilon = 1e-6                   // tolerance for rounding when a wait has ended
)

// SetRate limits requests to a rate. Tokens of the former rate are kept up to the new burst.
func (p *Pacer) SetRate(now time.Time, perSecond float64) {
	if p.on {
		p.refill(now)
	} else {
		p.on, p.tokens, p.refilledAt = true, 0, now // The server may have had requests until now.
	}
	p.perSecond = max(perSecond, minPerSecond)
	p.tokens = min(p.tokens, p.burst())
}

// Off ends the limit.
func (p *Pacer) Off() { p.on = false }

// Rate returns the rate in requests per second; ok is false while there is no limit.
func (p *Pacer) Rate() (perSecond float64, ok bool) { return p.perSecond, p.on }

// Wait returns how long it takes until a request may start, 0 if it may start now.
func (p *Pacer) Wait(now time.Time) time.Duration {
	if !p.on {
		return 0
	}
	p.refill(now)
	missing := 1 - p.tokens
	if missing <= tokenEpsilon {
		return 0
	}
	return max(time.Microsecond, time.Duration(missing/p.perSecond*float64(time.Second)))
}

// Take records that a request starts.
func (p *Pacer) Take(now time.Time) {
	if p.on {
		p.refill(now)
		p.tokens--
	}
}

func (p *Pacer) refill(now time.Time) {
	if dt := now.Sub(p.refilledAt).Seconds(); dt > 0 {
		p.tokens = min(p.tokens+dt*p.perSecond, p.burst())
		p.refilledAt = now
	}
}

func (p *Pacer) burst() float64 { return 1 + p.perSecond*burstTime.Seconds() }
