package berylpool

import (
	"bufio"
	"net"
	"time"
)

// link is one connection to the backend server.
type link struct {
	nc    net.Conn
	br    *bufio.Reader
	bw    *bufio.Writer
	keep  time.Duration // how long it may be idle
	since time.Time     // when it became idle
	until time.Time
}

const buffer = 4 << 10 // bytes

func newLink(nc net.Conn) *link {
	return &link{nc: nc, br: bufio.NewReaderSize(nc, buffer), bw: bufio.NewWriterSize(nc, buffer), keep: keepUnknown}
}

func (l *link) close() { _ = l.nc.Close() } // The server may have closed it first.
