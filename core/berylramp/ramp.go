// Package berylramp limits how fast a lender's share of a rate grows.
//
// It handles a workspace whose demand grows in several data centres at once: each
// sees its own demand at once and that of the others later, so each would claim more
// than is left of the rate. A share therefore grows slowly, so that the demand of
// the others becomes known meanwhile, and shrinks at once.
//
// After a restart of the whole fleet the data centre that lends to all others hears none
// of them for up to a second. Its share must not start from that and grow slowly, or
// requests within the rate are refused for several seconds at peak load.
package berylramp

import "time"

// Ramp holds the shares of one lender by workspace. It is not safe for concurrent
// use.
type Ramp struct {
	startedAt time.Time
	shares    map[string]share
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

// SettleTime is how long after the start of an instance the other data centres become known.
// It is also the time without an answer after which they use shares of their own, so that
// none of those that started together does so before.
const SettleTime = 2 * time.Second

// New returns a ramp without shares for an instance that started at the given time.
func New(startedAt time.Time) *Ramp { return &Ramp{startedAt: startedAt, shares: map[string]share{}} }

// LimitLending is Limit for the data centre that lends to all others. Its share follows the
// target at once while the instance has just started, and starts from it later.
func (r *Ramp) LimitLending(now time.Time, workspace string, target float64) float64 {
	if now.Sub(r.startedAt) < SettleTime {
		delete(r.shares, workspace)
	}
	return r.Limit(now, workspace, target, target)
}

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
