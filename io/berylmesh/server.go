package berylmesh

import (
	"context"
	"net"
	"sync"
	"time"

	"berylspan/io/berylreply"
	"berylspan/io/berylrequest"
	"berylspan/io/berylsocket"
)

// Server receives requests from other instances on one listener.
type Server struct {
	mesh   *Mesh
	ln     net.Listener
	handle func(ctx context.Context, req *berylrequest.Request) *berylreply.Reply

	mu    sync.Mutex
	conns map[*conn]struct{}
	wg    sync.WaitGroup
}

const (
	watchDelay       = 100 * time.Millisecond // requests that take longer are canceled when the sender closes the connection
	watchInterval    = 150 * time.Millisecond
	acceptRetryDelay = 5 * time.Millisecond // after a failed accept, for example with too many open files
)

const panicPart = "connection of an instance" // in logs and metrics

// NewServer returns a server that passes requests from ln to handle once Run is called.
func (m *Mesh) NewServer(ln net.Listener, handle func(ctx context.Context, req *berylrequest.Request) *berylreply.Reply) *Server {
	return &Server{mesh: m, ln: ln, handle: handle, conns: map[*conn]struct{}{}}
}

// Run accepts connections until ctx has ended and the listener is closed.
func (s *Server) Run(ctx context.Context) {
	for {
		nc, err := s.ln.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			time.Sleep(acceptRetryDelay)
			continue
		}
		c := newConn(nc)
		s.mu.Lock()
		s.conns[c] = struct{}{}
		s.mu.Unlock()
		s.wg.Go(func() {
			s.mesh.guard(panicPart, func() { s.serveConn(ctx, c) })
			c.close()
			s.mu.Lock()
			delete(s.conns, c)
			s.mu.Unlock()
		})
	}
}

// Close closes the listener and all connections and waits until their requests have
// ended. The context of Run must have ended.
func (s *Server) Close() {
	_ = s.ln.Close() // Fails only if it was closed before.
	s.mu.Lock()
	for c := range s.conns {
		c.close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

// serveConn handles the requests of one connection one after the other.
func (s *Server) serveConn(ctx context.Context, c *conn) {
	for {
		req, err := s.mesh.readRequest(c)
		if err != nil {
			return // The peer closed the connection or is not an instance.
		}
		if !s.serveRequest(ctx, c, req) {
			return
		}
	}
}

// serveRequest handles one request and reports whether the connection can be used again.
func (s *Server) serveRequest(parent context.Context, c *conn, req *berylrequest.Request) bool {
	ctx, cancel := context.WithDeadline(parent, req.Deadline)
	defer cancel()
	stop := cancelOnClose(c, cancel)
	reply := s.handle(ctx, req)
	stop()
	defer reply.Close()
	if body, ok := req.Stream.(*chunkReader); ok && !body.done {
		// The rest of the request body is still to come, so the connection cannot be reused.
		_ = c.nc.SetWriteDeadline(time.Now().Add(writeTimeout)) // Fails only if the connection is closed.
		if s.mesh.writeReply(c, req, reply) == nil {
			c.linger()
		}
		return false
	}
	_ = c.nc.SetWriteDeadline(time.Now().Add(writeTimeout)) // Fails only if the connection is closed.
	return s.mesh.writeReply(c, req, reply) == nil
}

// cancelOnClose calls cancel when the sender closes the connection, which means that it
// gave the request up. It looks for that until stop is called.
func cancelOnClose(c *conn, cancel func()) (stop func()) {
	var mu sync.Mutex
	var timer *time.Timer
	stopped := false
	mu.Lock()
	defer mu.Unlock()
	timer = time.AfterFunc(watchDelay, func() {
		mu.Lock()
		defer mu.Unlock()
		if stopped {
			return
		}
		if berylsocket.Peek(c.nc) == berylsocket.Closed {
			cancel()
			return
		}
		timer.Reset(watchInterval)
	})
	return func() {
		mu.Lock()
		stopped = true
		mu.Unlock()
		timer.Stop()
	}
}
