// Package berylregistration describes the entries of the published list of backend
// servers.
package berylregistration

import (
	"net"
	"time"

	"berylspan/core/beryllifetime"
)

// Registration is the entry of one backend server. Addr is where the daemon on the
// same instance reaches it; the host part is the address of the instance. The names
// of the fields are part of the encoding between daemons.
type Registration struct {
	ID      string
	Service string
	Zone    string
	Addr    string
	Slots   int
	Leaving bool
	Warm    time.Duration // remaining warm-up time, in which the backend server is slow, when the entry was written or sent
	Born    int64         // start in Unix milliseconds, distinguishes lifetimes under one ID

	// ColdUntil is the end of the warm-up time by the steady clock of this instance, zero for a
	// warm server.
	ColdUntil time.Time `cbor:"-"`
}

// coldTolerance is how far the ends of the same warm-up time may lie apart: entries are read
// some time after they were written.
const coldTolerance = time.Second

// ReadAt returns the entry with ColdUntil set, given when it was read.
func (r Registration) ReadAt(now time.Time) Registration {
	r.ColdUntil = time.Time{}
	if r.Warm > 0 {
		r.ColdUntil = now.Add(r.Warm)
	}
	return r
}

// ColdFor returns how long the backend server stays cold, 0 if it is warm.
func (r Registration) ColdFor(now time.Time) time.Duration { return max(0, r.ColdUntil.Sub(now)) }

// Host returns the address of the instance, "" if Addr is not valid.
func (r Registration) Host() string {
	host, _, err := net.SplitHostPort(r.Addr)
	if err != nil {
		return ""
	}
	return host
}

// Lifetime returns the lifetime of the backend server that the entry describes.
func (r Registration) Lifetime() beryllifetime.Lifetime {
	return beryllifetime.Lifetime{ID: r.ID, BornMs: r.Born}
}

// Equivalent reports whether both entries describe the same lifetime of a backend
// server in the same state. other is a later entry: it is not equivalent if the server has
// become cold again. That a server becomes warm follows from the passing of time.
func (r Registration) Equivalent(other Registration) bool {
	if other.ColdUntil.Sub(r.ColdUntil) > coldTolerance {
		return false
	}
	r.Warm, other.Warm = 0, 0
	r.ColdUntil, other.ColdUntil = time.Time{}, time.Time{}
	return r == other
}
