package berylhttpserver

import (
	"errors"
	"os"
	"time"
)

// ServeWhileStopping makes Drain accept connections and read requests as long as isNeeded
// reports true, until its timeout. Of the requests that begin to arrive in that time, those for
// which serves reports true are served. The others are refused and their connections closed.
// Without it, Drain reads no further requests.
func ServeWhileStopping(isNeeded func() bool, serves func(r *Request) bool) func(*Server) {
	return func(s *Server) { s.isNeeded, s.serves = isNeeded, serves }
}

// drainWhileNeeded is the part of Drain before the listener is closed.
func (s *Server) drainWhileNeeded(endBodies, endWork time.Time) {
	if !s.isNeeded() {
		return
	}
	s.mu.Lock()
	s.restricted = true
	s.mu.Unlock()
	for ; s.isNeeded() && time.Now().Before(endWork); time.Sleep(drainPollInterval) {
		bodiesEnded := !time.Now().Before(endBodies)
		s.eachConn(func(c *conn) {
			c.disableKeepAlive()
			c.restrict()
			if bodiesEnded {
				c.endBodies()
			}
		})
	}
}

// restrict makes requests be refused that begin to arrive from now on, unless the server serves
// them while it stops. A request that has arrived but was not yet looked at is not among them.
func (c *conn) restrict() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.restricted || c.readingStopped {
		return
	}
	c.restricted, c.nextIsLate = true, c.reading
	if !c.reading && !c.ended {
		c.unblockReader()
	}
}

// restrictNew is restrict for a connection that is not served yet.
func (c *conn) restrictNew() {
	c.mu.Lock()
	c.restricted, c.nextIsLate = true, true
	c.mu.Unlock()
}

// resumeWaiting reports whether the wait for the next request ended with err only because of
// restrict, and must go on.
func (c *conn) resumeWaiting(err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !errors.Is(err, os.ErrDeadlineExceeded) || !c.isUnblockedByRestrict() || c.readingStopped || c.ended {
		return false
	}
	c.nextIsLate = true
	_ = c.nc.SetReadDeadline(time.Time{}) // Fails only if the connection is closed.
	return true
}

// isUnblockedByRestrict reports whether the reader has not yet noticed restrict. The caller
// holds the lock.
func (c *conn) isUnblockedByRestrict() bool { return c.restricted && !c.nextIsLate }

// mustBeWhole reports whether a request is not started unless its body is whole. late is set if
// it began to arrive after restrict. The caller holds the lock.
func (c *conn) mustBeWhole(late bool) bool { return c.bodiesEnded && (!late || c.readingStopped) }
