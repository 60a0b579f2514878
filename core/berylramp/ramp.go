// Package berylramp limits how fast a lender's share of a rate grows.
//
// It handles a workspace whose demand grows in several data centres at once: each
// sees its own demand at once and that of the others later, so each would claim more
// than is left of the rate. A share therefore grows slowly, so that the demand of
// the others becomes known meanwhile, and shrinks at once.
package berylramp

import "time"

// Ramp holds the shares of one lender by workspace. It is not safe for concurrent
// use.
type Ramp struct {
	shares map[string]share
}

type share struct {
	fraction  float64 // of the workspace's rate
	updatedAt time.Time
}

// maxGrowthPerSecond is how much a share may grow per second, as a fraction of the
// workspace's rate. Gossip between data centres takes up to a second. Four data
// centres that grow for that long claim 0.6 more than the whole rate, at worst an
// eighth of a five-second window.
const maxGrowthPerSecond = 0.15

// New returns a ramp without shares.
func New() *Ramp { return &Ramp{shares: map[string]share{}} }

// Limit returns the share of a workspace's rate that may be lent now, at most target.
// initial is the share that a workspace starts from.
func (r *Ramp) Limit(now time.Time, workspace string, target, initial float64) float64 {
	s, known := r.shares[workspace]
	if !known {
		s = share{fraction: initial, updatedAt: now}
	}
	s.fraction = min(target, s.fraction+maxGrowthPerSecond*now.Sub(s.updatedAt).Seconds())
	s.updatedAt = now
	r.shares[workspace] = s
	return s.fraction
}
