// Package berylchain limits the requests that begin on one backend server while a service
// further down their call chain rejects most calls on all of its servers.
//
// A request that makes eight calls to a service that rejects 55 % of what arrives succeeds in
// one of 600 cases without retries. The fleet may retry only a fixed ratio of its calls, so
// when all requests are admitted, each gets too few retries, and nearly all fail after every
// service on their way has worked for them. When only as many are admitted as the retries can
// carry, these succeed whole. The others are refused before any work is spent on them.
//
// The number that the retries can carry follows from the share that the service rejects. The
// least important requests start with a part of it. The number is then corrected by what
// becomes of the admitted requests: the less important a request, the fewer failures are
// accepted before fewer are admitted, so that more important requests get the retries.
package berylchain

import (
	"math"
	"time"

	"berylspan/core/berylretries"
	"berylspan/core/berylshedding"
)

// Gate decides which new requests begin on one backend server. It is not safe for concurrent
// use.
type Gate struct {
	shedding      float64   // largest share of arrivals that a service of the fleet rejects
	sheddingSince time.Time // when it was first known that one does
	soundSince    time.Time // when it was known that none does any more
	kinds         map[kind]*state
}

// kind is a group of requests with the same chain and importance.
type kind struct {
	rule       string
	importance int
}

// state holds the admitted share of one kind and the outcomes of the current window.
type state struct {
	share         float64 // of the requests that are admitted
	credit        float64 // of the next admission
	windowStart   time.Time
	ended, failed int // requests admitted since the window began that have ended
}

const (
	reopenTime       = 1500 * time.Millisecond
	stepDelay        = 300 * time.Millisecond // by which more important requests are limited later for each step of importance
	minWindow        = 150 * time.Millisecond
	longWindow       = 600 * time.Millisecond
	minEnded         = 5     // requests that must end in a window, unless it is long
	minFailed        = 2     // requests that must fail in a window before any is refused, as some fail by themselves
	hopelessFailure  = 0.75  // share that must fail before any is refused: of short chains more succeed when all are tried
	toleratedFailure = 0.1   // share of the least important requests that may fail before fewer are admitted
	importanceFactor = 2.0   // multiplies toleratedFailure for each step of importance
	maxTolerated     = 0.6   // upper bound of the tolerated share
	startShare       = 0.25  // part of the carried share that the least important requests start with; more important ones, which are not known here, may need the rest
	largestDecrease  = 0.4   // a decrease multiplies the admitted share by at least this
	smallestDecrease = 0.9   // a decrease multiplies the admitted share by at most this
	increaseFactor   = 1.3   // multiplies the admitted share when less than half of the tolerated share fails
	minShare         = 0.005 // of the requests that are always admitted, to see when more can be
)

// New returns a gate that admits everything.
func New() *Gate { return &Gate{kinds: map[kind]*state{}} }

// SetShedding sets the largest share of arrivals that all servers of a service reject.
// When no service sheds any more, the admitted share grows to everything within reopenTime: all
// at once would overload the service that has just recovered.
func (g *Gate) SetShedding(now time.Time, share float64) {
	before := g.isShedding()
	g.shedding = share
	switch {
	case before && !g.isShedding():
		g.soundSince = now
	case !before && g.isShedding():
		if now.Sub(g.soundSince) >= reopenTime {
			clear(g.kinds)
		}
		g.sheddingSince = now
	}
}

func (g *Gate) isShedding() bool { return g.shedding >= berylshedding.MinShare }

// CarriedShare returns the share of the usual calls to a service that retries can carry while
// it rejects a share of all arrivals: each call then needs rejected/(1-rejected) retries.
func CarriedShare(rejected float64) float64 {
	if rejected <= 0 {
		return 1
	}
	return min(1, berylretries.RejectedRatio*(1-rejected)/rejected)
}

// Admit reports whether a new request may begin.
func (g *Gate) Admit(now time.Time, rule string, importance int) bool {
	s := g.kinds[kind{rule, importance}]
	if s == nil || s.share >= 1 {
		return true
	}
	share := s.share
	switch {
	case !g.isShedding():
		if share = g.reopened(now, share); share >= 1 {
			clear(g.kinds)
			return true
		}
	case now.Sub(s.windowStart) >= longWindow:
		s.adjust(now, CarriedShare(g.shedding), importance)
		share = s.share
	}
	if s.credit += share; s.credit < 1 {
		return false
	}
	s.credit--
	return true
}

// reopened returns what an admitted share has grown to since no service sheds any more.
func (g *Gate) reopened(now time.Time, share float64) float64 {
	return share + (1-share)*min(1, now.Sub(g.soundSince).Seconds()/reopenTime.Seconds())
}

// Share returns the share of the requests of a rule and importance that is admitted.
func (g *Gate) Share(rule string, importance int) float64 {
	if s := g.kinds[kind{rule, importance}]; s != nil {
		return s.share
	}
	return 1
}

// Ended records the end of an admitted request. failed is set if its run failed.
func (g *Gate) Ended(now, started time.Time, rule string, importance int, failed bool) {
	if !g.isShedding() || now.Sub(g.sheddingSince) < time.Duration(importance)*stepDelay {
		return
	}
	k := kind{rule, importance}
	s := g.kinds[k]
	if s == nil {
		s = &state{share: 1, windowStart: now}
		g.kinds[k] = s
	}
	if s.share < 1 && started.Before(s.windowStart) {
		return // It was admitted among others than are now.
	}
	s.ended++
	if failed {
		s.failed++
	}
	if dt := now.Sub(s.windowStart); dt < minWindow || (s.ended < minEnded && dt < longWindow) {
		return
	}
	s.adjust(now, CarriedShare(g.shedding), importance)
}

// adjust sets the admitted share at the end of a window. carried is the share that could be
// admitted if it were the same for all requests.
func (s *state) adjust(now time.Time, carried float64, importance int) {
	failed := float64(s.failed) / float64(max(s.ended, 1))
	tolerated := min(toleratedFailure*math.Pow(importanceFactor, float64(importance)), maxTolerated)
	least := minShare
	if failed < hopelessFailure {
		least = max(minShare, carried*(1-math.Exp2(-float64(importance))))
	}
	switch {
	case s.share >= 1 && (s.failed < minFailed || failed < hopelessFailure):
	case failed > tolerated && s.share >= 1 && importance == 0:
		s.share = max(least, carried*startShare)
	case failed > tolerated:
		s.share = max(least, s.share*min(smallestDecrease, max(largestDecrease, (1-failed)/(1-tolerated))))
	case failed < tolerated/2:
		s.share = min(1, s.share*increaseFactor)
	}
	s.windowStart, s.ended, s.failed = now, 0, 0
}
