// Package berylgate admits new work while a service on its way is overloaded.
//
// It answers a shortage that lasts: of the requests that begin at an instance,
// the part that the scarcest service on their way can take is let in, evenly
// spaced, more important ones in a larger part and those that come back after a
// refusal before newcomers. All others are refused at once, before any work is
// done for them.
package berylgate

import (
	"math"
	"time"
)

// Gate keeps what is known of the ways of requests, by rule. It is not safe for
// concurrent use.
type Gate struct {
	ways map[string]*way
}

type way struct {
	open   float64 // part of new work that fits
	at     time.Time
	credit map[int]float64 // by step of importance
}

const (
	fresh     = 0.3  // weight of the newest report
	forget    = 0.25 // part that opens again each second without a report
	important = 3.0  // factor of the part let in, a step of importance
	back      = 2.0  // factor for requests that come back
	least     = 0.02 // let in at least, so that a way is tried
)

// New returns a gate that lets everything through.
func New() *Gate { return &Gate{ways: map[string]*way{}} }

func (g *Gate) way(rule string) *way {
	w := g.ways[rule]
	if w == nil {
		w = &way{open: 1, credit: map[int]float64{}}
		g.ways[rule] = w
	}
	return w
}

// Report records the part of new work that fits, as an answer told it.
func (g *Gate) Report(now time.Time, rule string, open float64) {
	w := g.way(rule)
	w.open = w.now(now) + fresh*(open-w.now(now))
	w.at = now
}

func (w *way) now(now time.Time) float64 {
	if w.at.IsZero() {
		return 1
	}
	return min(1, w.open+forget*max(0, now.Sub(w.at).Seconds()))
}

// Open returns the part of the rule's new work that fits.
func (g *Gate) Open(now time.Time, rule string) float64 {
	if w := g.ways[rule]; w != nil {
		return w.now(now)
	}
	return 1
}

// Admit decides on a request. Step is how many steps it is more important than
// the least important ones; returning says that it was refused before.
func (g *Gate) Admit(now time.Time, rule string, step int, returning bool) bool {
	w := g.way(rule)
	part := w.now(now)
	if part >= 0.99 {
		return true
	}
	part = max(part, least) * math.Pow(important, float64(step))
	if returning {
		part *= back
	}
	c := w.credit[step] + min(part, 1)
	if c < 1 {
		w.credit[step] = c
		return false
	}
	w.credit[step] = c - 1
	return true
}
