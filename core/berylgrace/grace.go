// Package berylgrace decides which requests an instance still takes while it stops.
//
// It answers a planned stop in calm: requests go on coming until their callers have noticed, and
// what still runs at the end of the grace is cancelled. Nobody then knows whether a request that
// must not be repeated has run. A request is taken only if it is expected to end in time. Otherwise
// it is refused as not run, so that its caller can go elsewhere at once.
package berylgrace

import (
	"math"
	"time"
)

// Grace is the time that a stop leaves to requests, and how long requests take by kind. It is not safe
// for concurrent use.
type Grace struct {
	end       time.Time // when running requests are cancelled, zero while the instance does not stop
	durations map[string]*duration
}

// duration is a moving mean and mean deviation, in seconds.
type duration struct{ mean, deviation float64 }

const (
	meanWeight      = 1.0 / 8 // of the newest request, as in the retransmission timer of TCP (RFC 6298)
	deviationWeight = 1.0 / 4 // as above
	deviations      = 3.0     // mean deviations beyond the mean that a request is expected to take
)

// New returns the grace of an instance that does not stop.
func New() *Grace { return &Grace{durations: map[string]*duration{}} }

// Ended records how long a request of a kind took.
func (g *Grace) Ended(kind string, took time.Duration) {
	s := took.Seconds()
	d := g.durations[kind]
	if d == nil {
		g.durations[kind] = &duration{mean: s, deviation: s / 2}
		return
	}
	d.deviation += deviationWeight * (math.Abs(s-d.mean) - d.deviation)
	d.mean += meanWeight * (s - d.mean)
}

// Stop records that the instance stops and when running requests are cancelled.
func (g *Grace) Stop(end time.Time) { g.end = end }

// MayTake reports whether a request may be started at now. nested marks a call that a running request
// makes. A kind of which none has ended is assumed to take until the deadline, but a nested call is
// taken: refusing it fails the request that needs it.
func (g *Grace) MayTake(now time.Time, kind string, nested bool, deadline time.Time) bool {
	if g.end.IsZero() || !deadline.After(g.end) {
		return true
	}
	d := g.durations[kind]
	if d == nil {
		return nested
	}
	expected := time.Duration((d.mean + deviations*d.deviation) * float64(time.Second))
	return !now.Add(expected).After(g.end)
}
