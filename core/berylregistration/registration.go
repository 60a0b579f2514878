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
	Warm    time.Duration // remaining warm-up time, in which the backend server is slow
	Born    int64         // start in Unix milliseconds, distinguishes lifetimes under one ID
}

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
// server in the same state. It ignores Warm.
func (r Registration) Equivalent(other Registration) bool {
	r.Warm, other.Warm = 0, 0
	return r == other
}
