package berylechoclient

import (
	"slices"
	"sync"

	"berylspan/io/beryltransport"
)

// maxIdle is the number of connections that are kept while no request uses them.
const maxIdle = 64

// idle holds the connections on which no request is running. It is safe for concurrent use.
type idle struct {
	dial beryltransport.Dial

	mu     sync.Mutex
	conns  []*conn // the one used last at the end
	closed bool    // until the next request
}

// take returns the connection that was used last of those on which the id was never sent, or a new
// one, and adds the id to those sent on it.
func (i *idle) take(id string) *conn {
	c := i.remove(id)
	if c == nil {
		c = &conn{client: beryltransport.HTTP1(i.dial)}
	}
	c.sent.Add(id)
	return c
}

func (i *idle) remove(id string) *conn {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.closed = false
	for n, c := range slices.Backward(i.conns) {
		if !c.sent.Contains(id) {
			i.conns = slices.Delete(i.conns, n, n+1)
			return c
		}
	}
	return nil
}

// put keeps a connection for later requests, or closes it if its ids are too many. If too many
// connections are kept, it closes the one that was not used for the longest time.
func (i *idle) put(c *conn) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.closed || c.sent.Full() {
		c.close()
		return
	}
	i.conns = append(i.conns, c)
	if len(i.conns) > maxIdle {
		i.conns[0].close()
		i.conns = slices.Delete(i.conns, 0, 1)
	}
}

// close closes all connections, and those in use as soon as their requests have ended.
func (i *idle) close() {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, c := range i.conns {
		c.close()
	}
	i.conns, i.closed = nil, true
}
