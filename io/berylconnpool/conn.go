package berylconnpool

import (
	"bufio"
	"net"
	"time"

	"berylspan/core/berylsentids"
	"berylspan/io/beryllimitedreader"
)

// conn is a connection to the backend server.
type conn struct {
	nc          net.Conn
	limiter     *beryllimitedreader.Reader // of response heads
	br          *bufio.Reader
	bw          *bufio.Writer
	idleTimeout time.Duration // how long it may be idle before it is no longer used
	idleSince   time.Time     // when it became idle
	idleUntil   time.Time     // idleSince plus idleTimeout
	used        bool          // whether a response has been read from it
	sent        berylsentids.Set
}

const bufferSize = 4 << 10 // bytes

func newConn(nc net.Conn) *conn {
	limiter := &beryllimitedreader.Reader{R: nc, Remaining: beryllimitedreader.Unlimited}
	return &conn{nc: nc, limiter: limiter, br: bufio.NewReaderSize(limiter, bufferSize), bw: bufio.NewWriterSize(nc, bufferSize), idleTimeout: defaultIdleTimeout}
}

func (c *conn) close() { _ = c.nc.Close() } // It may be closed already.
