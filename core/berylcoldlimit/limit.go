// Package berylcoldlimit limits the requests that a cold backend server gets.
//
// A server that has just started, or has become cold again, crashes at a rate that it bears
// when it is warm. All requests to it pass one instance, so that instance can keep the limit
// for the whole fleet. Starts are counted at all times: a server can become cold at any moment,
// and those of the second before count too.
package berylcoldlimit

import "time"

// Limit bounds the requests that start in any window while the server is cold. The zero value
// has no limit. It is not safe for concurrent use.
type Limit struct {
	perSecond float64
	window    time.Duration
	starts    []time.Time // the latest ones, as many as may start in a window; a ring
	next      int         // index of the oldest one
	cold      bool
}

const maxCounted = 4096 // starts in a window, which bounds the memory

// SetRate sets how many requests per second a cold server tolerates, 0 or less for no limit.
func (l *Limit) SetRate(perSecond float64) {
	if perSecond == l.perSecond {
		return
	}
	if perSecond <= 0 {
		*l = Limit{}
		return
	}
	n := min(max(int(perSecond), 1), maxCounted)
	l.starts, l.next = l.latest(n), 0
	l.perSecond, l.window = perSecond, max(time.Second, time.Duration(float64(n)/perSecond*float64(time.Second)))
}

// latest returns the latest n starts, oldest first, after zero times if there were fewer.
func (l *Limit) latest(n int) []time.Time {
	out := make([]time.Time, n)
	for i := 1; i <= min(n, len(l.starts)); i++ {
		out[n-i] = l.starts[(l.next-i+len(l.starts))%len(l.starts)]
	}
	return out
}

// SetCold sets whether the server is cold.
func (l *Limit) SetCold(cold bool) { l.cold = cold && l.perSecond > 0 }

// Rate returns the limit in requests per second; ok is false while the server is warm.
func (l *Limit) Rate() (perSecond float64, ok bool) { return l.perSecond, l.cold }

// Wait returns how long it takes until a request may start, 0 if it may start now.
func (l *Limit) Wait(now time.Time) time.Duration {
	if !l.cold {
		return 0
	}
	return max(0, l.starts[l.next].Add(l.window).Sub(now))
}

// Take records that a request starts.
func (l *Limit) Take(now time.Time) {
	if len(l.starts) > 0 {
		l.starts[l.next] = now
		l.next = (l.next + 1) % len(l.starts)
	}
}
