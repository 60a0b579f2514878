package berylhttpserver

import (
	"errors"
	"net/http"
	"time"

	"berylspan/core/berylconnectionlimit"
	"berylspan/io/berylmemory"
)

// Limited is what was done about callers beyond a limit.
type Limited string

// What can be done about callers beyond a limit.
const (
	LimitedHeaderLines  Limited = "header lines"           // a request was refused with 431
	LimitedMemory       Limited = "request refused"        // there was no memory for a request
	LimitedHeaviest     Limited = "connection closed"      // it held most memory
	LimitedAnswers      Limited = "answers not read"       // a connection was closed, there was no memory for its answers
	LimitedUnreadAnswer Limited = "answer not accepted"    // a connection was closed after transferTimeout
	LimitedIdle         Limited = "idle connection closed" // there were too many connections
	LimitedSlow         Limited = "slow request refused"   // there were too many connections
	LimitedNew          Limited = "new connection refused" // there were too many connections
)

var (
	errMemory       = errors.New("too much memory is held for callers") //nolint:gochecknoglobals // A sentinel.
	errTooManyLines = errors.New("header has too many lines")           //nolint:gochecknoglobals // A sentinel.
)

// Memory sets what the connections of callers are charged to.
func Memory(m *berylmemory.Memory) func(*Server) { return func(s *Server) { s.memory = m } }

// Connections sets the function that returns how many connections may be open.
func Connections(limit func() berylconnectionlimit.Limit) func(*Server) {
	return func(s *Server) { s.connLimit = limit }
}

// OnLimited sets the function that is called when something was done about a caller beyond a
// limit.
func OnLimited(report func(l Limited)) func(*Server) { return func(s *Server) { s.onLimited = report } }

// RefuseOverloaded sets the function that answers requests that were not started because too
// much memory is held. The body has not been read.
func RefuseOverloaded(refuse func(r *Request) *Answer) func(*Server) {
	return func(s *Server) { s.refuseOverloaded = refuse }
}

// refuseOverloaded also answers requests whose headers were not read.
func refuseOverloaded(*Request) *Answer {
	return &Answer{Status: http.StatusServiceUnavailable, Header: http.Header{"Retry-After": {"1"}}, Close: true}
}

// makeRoom closes connections if there are too many. It returns false if no further one may be
// opened.
func (s *Server) makeRoom() bool {
	limit := s.connLimit()
	s.mu.Lock()
	defer s.mu.Unlock()
	n := len(s.conns) + 1
	if limit.Soft == 0 || n < limit.Soft {
		return true
	}
	var conns []*conn
	var candidates []berylconnectionlimit.Conn
	for c := range s.conns {
		if candidate, ok := c.candidate(); ok {
			conns, candidates = append(conns, c), append(candidates, candidate)
		}
	}
	for _, i := range limit.Choose(n, candidates, time.Now()) {
		conns[i].closeForOthers()
	}
	if !limit.Accepts(n) {
		s.onLimited(LimitedNew)
		return false
	}
	return true
}

// candidate returns what is known of a connection that may be closed for others.
func (c *conn) candidate() (berylconnectionlimit.Conn, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return berylconnectionlimit.Conn{Arriving: c.isArriving(), Since: c.since}, c.isIdle() || c.isArriving()
}

// isIdle reports whether there is no request. The caller holds the lock.
func (c *conn) isIdle() bool {
	return len(c.pending) == 0 && !c.reading && !c.readingStopped && !c.ended
}

// isArriving reports whether the only request is one that is arriving. The caller holds the
// lock.
func (c *conn) isArriving() bool {
	return !c.readingStopped && !c.ended && ((c.arriving && len(c.pending) == 0) || (c.bodyArriving && len(c.pending) == 1))
}

// closeForOthers closes an idle connection, or refuses the request that is arriving.
func (c *conn) closeForOthers() {
	c.mu.Lock()
	isIdle, isArriving := c.isIdle(), c.isArriving()
	if isArriving {
		c.readingStopped, c.lastRead = true, true
		c.unblockReader()
	}
	c.mu.Unlock()
	switch {
	case isIdle:
		c.stopReading()
		c.server.onLimited(LimitedIdle)
	case isArriving:
		c.server.onLimited(LimitedSlow)
	}
}

// evict closes a connection that holds most memory.
func (c *conn) evict() {
	c.abort(errMemory)
	c.server.onLimited(LimitedHeaviest)
}
