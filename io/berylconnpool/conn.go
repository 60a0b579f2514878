package berylconnpool

import (
	"bufio"
	"context"
	"io"
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
	onClose     func() // may be called more than once
}

const bufferSize = 4 << 10 // bytes

func newConn(nc net.Conn, onClose func()) *conn {
	limiter := &beryllimitedreader.Reader{R: nc, Remaining: beryllimitedreader.Unlimited}
	return &conn{nc: nc, limiter: limiter, br: bufio.NewReaderSize(limiter, bufferSize), bw: bufio.NewWriterSize(nc, bufferSize), idleTimeout: defaultIdleTimeout, onClose: onClose}
}

func (c *conn) close() {
	_ = c.nc.Close() // It may be closed already.
	c.onClose()
}

// closeOrderly closes a connection once the server has closed its side, which then no longer counts
// it, or after a short time.
func (c *conn) closeOrderly(ctx context.Context) {
	defer c.close()
	defer context.AfterFunc(ctx, c.close)()
	tc, ok := c.nc.(*net.TCPConn)
	if !ok || tc.CloseWrite() != nil {
		return
	}
	_ = tc.SetReadDeadline(time.Now().Add(orderlyCloseTimeout)) // Fails only if the connection is closed.
	_, _ = io.CopyN(io.Discard, tc, socketBytes)                // The connection is closed in any case.
}
