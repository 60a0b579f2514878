// Package berylfreeze stops the connections of one process for a while, as if
// the process were paused, in the demo. Its timers go on, which those of a
// paused process do not; tests with real processes cover that.
package berylfreeze

import (
	"context"
	"net"
	"sync"
	"time"

	"berylspan/io/berylclock"
	"berylspan/io/beryltransport"
)

// Freeze holds up reads and writes of the connections that it wraps. It is safe
// for concurrent use.
type Freeze struct {
	mu sync.RWMutex
}

// New returns a freeze that lets everything pass.
func New() *Freeze { return &Freeze{} }

// Hold holds everything up for d or until ctx ends.
func (f *Freeze) Hold(ctx context.Context, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	berylclock.Sleep(ctx, d)
}

// Dial wraps the connections that dial opens.
func (f *Freeze) Dial(dial beryltransport.Dial) beryltransport.Dial {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return frozen{Conn: c, f: f}, nil
	}
}

// Listener wraps the connections that ln accepts.
func (f *Freeze) Listener(ln net.Listener) net.Listener { return listener{Listener: ln, f: f} }

type listener struct {
	net.Listener
	f *Freeze
}

func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return frozen{Conn: c, f: l.f}, nil
}

type frozen struct {
	net.Conn
	f *Freeze
}

func (c frozen) pass() {
	c.f.mu.RLock()
	defer c.f.mu.RUnlock()
}

// Read returns bytes, once nothing is held up.
func (c frozen) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.pass()
	return n, err
}

// Write sends bytes, once nothing is held up.
func (c frozen) Write(b []byte) (int, error) {
	c.pass()
	return c.Conn.Write(b)
}
