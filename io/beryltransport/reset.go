package beryltransport

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// resetConn tells the end of a broken connection from that of a closed one. The system reports
// a reset once, to a write or to a read. After a write has got it, a read ends as if the peer
// had closed the connection, which completes an answer without a length.
type resetConn struct {
	net.Conn

	mu     sync.Mutex // held while writing
	broken bool       // a write has failed; guarded by mu
}

// detectResets returns a Dial whose connections are resetConns.
func detectResets(dial Dial) Dial {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		nc, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &resetConn{Conn: nc}, nil
	}
}

// Write writes p.
func (c *resetConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.broken = true
	}
	return n, err
}

// Read returns io.ErrUnexpectedEOF at the end of a connection on which a write has failed. It
// ends a write in progress then, as the peer sends nothing more.
func (c *resetConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	_ = c.SetWriteDeadline(time.Now()) // Fails only if the connection is closed.
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.broken {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}
