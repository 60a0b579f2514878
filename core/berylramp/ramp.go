// Package berylramp slows the growth of parts that lenders claim for themselves.
//
// It answers a workspace whose requests grow in several data centres at once:
// each hears of its own at once and of the others' later, so each would claim more
// than is left. A part grows slowly, so that others are heard meanwhile, and
// shrinks at once.
package berylramp

import "time"

// Ramp holds the parts of one lender by workspace. It is not safe for concurrent
// use.
type Ramp struct {
	held map[string]held
}

type held struct {
	part float64
	at   time.Time
}

// growth is how much of a whole rate a part may gain in a second. Words between
// data centres take up to a second; four that grow for so long claim 0.6 more
// than there is, an eighth of a window of five seconds at the worst.
const growth = 0.15

// New returns a ramp that holds nothing.
func New() *Ramp { return &Ramp{held: map[string]held{}} }

// Limit returns the part of a workspace's rate that may be lent now; even is what
// a part starts from.
func (r *Ramp) Limit(now time.Time, workspace string, part, even float64) float64 {
	h, known := r.held[workspace]
	if !known {
		h = held{part: even, at: now}
	}
	h.part = min(part, h.part+growth*now.Sub(h.at).Seconds())
	h.at = now
	r.held[workspace] = h
	return h.part
}
