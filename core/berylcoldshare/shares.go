// Package berylcoldshare decides how much of what cold backend servers take one sender may
// offer.
//
// It handles servers that come back, one or all of a data centre at once, while every sender
// finds them empty: without shares all would send there at the same time, and nearly all of it
// would be refused. A sender offers a cold server its share of the rate that the server
// tolerates, and more and more once the server is warm.
package berylcoldshare

import (
	"math"
	"time"

	"berylspan/core/beryllifetime"
)

// Shares holds when this sender may offer a request to which cold server. It is not safe for
// concurrent use.
type Shares struct {
	random func() float64
	offers map[beryllifetime.Lifetime]offer
}

type offer struct {
	next  time.Time // when the next request may be offered
	asked time.Time // when it was last used
}

const (
	overshoot    = 1.5                    // of all shares together, as not all senders use theirs
	ownZoneShare = 0.75                   // of the rate, for senders in the data centre of the server, where most requests to it come from
	doublingTime = 300 * time.Millisecond // of the share once the server is warm; senders hear of its load within that time
	rampTime     = 2 * time.Second        // after which shares do not limit any more
	refusedFor   = 500 * time.Millisecond // mean time added to the wait that a refusal named, so that senders return apart
	maxInterval  = time.Minute            // between two offers of a sender
	evictAfter   = 30 * time.Second
)

// Cold describes a server that is cold or became warm a short time ago. The instances count as
// senders.
type Cold struct {
	Lifetime  beryllifetime.Lifetime
	Until     time.Time // when it becomes warm
	PerSecond float64   // requests that it tolerates until then
	SameZone  bool      // as the sender
	InZone    int       // instances in its data centre
	Elsewhere int       // instances in other data centres
}

// New returns shares that use random, which returns a number in [0,1).
func New(random func() float64) *Shares {
	return &Shares{random: random, offers: map[beryllifetime.Lifetime]offer{}}
}

// IsLimited reports whether offers to a server that becomes warm at until are limited now.
func IsLimited(now, until time.Time) bool { return now.Before(until.Add(rampTime)) }

// Allow reports whether a request may be offered to the server now.
func (s *Shares) Allow(now time.Time, c Cold) bool {
	o, ok := s.offers[c.Lifetime]
	if !ok {
		// Senders that learn of the server at the same time begin apart.
		o.next = now.Add(time.Duration(s.random() * float64(interval(now, c))))
	}
	o.asked = now
	s.offers[c.Lifetime] = o
	// The share may have grown since next was set.
	return !now.Before(o.next) || (now.After(c.Until) && o.next.Sub(now) > interval(now, c))
}

// Offered records that a request is offered to the server.
func (s *Shares) Offered(now time.Time, c Cold) {
	s.offers[c.Lifetime] = offer{next: now.Add(time.Duration((0.5 + s.random()) * float64(interval(now, c)))), asked: now}
}

// Refused records that the instance beside a server refused a request because of its limit, and
// how long it is until there may be room.
func (s *Shares) Refused(now time.Time, lifetime beryllifetime.Lifetime, wait time.Duration) {
	o := s.offers[lifetime]
	if next := now.Add(wait + time.Duration(2*s.random()*float64(refusedFor))); next.After(o.next) {
		o.next = next
	}
	o.asked = now
	s.offers[lifetime] = o
}

// IsRefused reports whether offers to a server that is not known to be cold wait after a
// refusal.
func (s *Shares) IsRefused(now time.Time, lifetime beryllifetime.Lifetime) bool {
	return len(s.offers) > 0 && now.Before(s.offers[lifetime].next)
}

// EvictStale forgets servers that have not been asked about for a while.
func (s *Shares) EvictStale(now time.Time) {
	for lifetime, o := range s.offers {
		if now.Sub(o.asked) > evictAfter && !now.Before(o.next) {
			delete(s.offers, lifetime)
		}
	}
}

// interval returns the mean time between two offers of this sender.
func interval(now time.Time, c Cold) time.Duration {
	share := ownZoneShare / float64(max(c.InZone, 1))
	switch {
	case c.Elsewhere == 0:
		share = 1 / float64(max(c.InZone, 1))
	case !c.SameZone:
		share = (1 - ownZoneShare) / float64(c.Elsewhere)
	}
	rate := overshoot * share * c.PerSecond
	if warmFor := now.Sub(c.Until); warmFor > 0 {
		rate *= math.Exp2(float64(warmFor) / float64(doublingTime))
	}
	return min(time.Duration(float64(time.Second)/rate), maxInterval)
}
