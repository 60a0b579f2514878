// Package berylthrottle tells how much of its new work a backend server can
// take.
//
// It answers overload in the depth: a service that many chains lead to is
// offered more than it can run, and whatever it turns away has already cost the
// services above. The part of new work that fits is published with every
// answer, so that chains are refused where they begin.
package berylthrottle

import (
	"math"
	"time"
)

// Throttle follows the work offered to one server. It is not safe for
// concurrent use.
type Throttle struct {
	open  float64 // part of new work that fits, 0 to 1
	work  float64 // seconds of work offered since the last step
	at    time.Time
	begun bool
}

const (
	step    = 200 * time.Millisecond // between two looks at the load
	target  = 0.90                   // part of the slots that may be asked for
	gain    = 0.5                    // exponent of the correction, for a steady approach
	least   = 0.03                   // so that the end of an overload is noticed
	recover = 0.04                   // opened again in each step
	deepest = 0.6                    // least factor of one step
)

// New returns a throttle that lets everything through.
func New() *Throttle { return &Throttle{open: 1} }

// Offer records a request that asks for hold seconds of one of slots slots,
// whether it is run or refused.
func (t *Throttle) Offer(now time.Time, hold float64, slots int) {
	if !t.begun {
		t.begun, t.at = true, now
	}
	t.work += hold
	dt := now.Sub(t.at)
	if dt < step {
		return
	}
	load := t.work / (dt.Seconds() * float64(max(slots, 1)))
	steps := min(dt.Seconds()/step.Seconds(), 10)
	if load > target {
		t.open = max(least, t.open*max(deepest, math.Pow(target/load, gain)))
	} else {
		t.open = min(1, t.open+recover*steps)
	}
	t.work, t.at = 0, now
}

// Open returns the part of new work that fits.
func (t *Throttle) Open(now time.Time) float64 {
	if !t.begun {
		return 1
	}
	// Without any offers the server is idle.
	if idle := now.Sub(t.at) - 2*step; idle > 0 {
		return min(1, t.open+recover*idle.Seconds()/step.Seconds())
	}
	return t.open
}
