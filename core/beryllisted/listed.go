// Package beryllisted describes a backend server as the published list shows it.
package beryllisted

import (
	"net"
	"time"
)

// Listed is one entry. Addr is where its own instance reaches it; the host part
// is the address of the instance. Born tells lifetimes under one id apart, in
// Unix milliseconds. Warm is how long it stays slow after its start.
type Listed struct {
	ID      string
	Service string
	Zone    string
	Addr    string
	Slots   int
	Leaving bool
	Warm    time.Duration
	Born    int64
}

// Host returns the address of the instance, "" when the entry has none.
func (l Listed) Host() string {
	host, _, err := net.SplitHostPort(l.Addr)
	if err != nil {
		return ""
	}
	return host
}

// Same tells whether the entry names the same lifetime in the same state.
func (l Listed) Same(o Listed) bool {
	l.Warm, o.Warm = 0, 0
	return l == o
}
