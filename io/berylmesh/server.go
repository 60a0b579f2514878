package berylmesh

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"berylspan/core/berylattempt"
	"berylspan/io/berylreply"
	"berylspan/io/berylrequest"
	"berylspan/io/berylsocket"
	"berylspan/io/beryltimelimit"
)

// Server receives requests from other instances on one listener.
type Server struct {
	mesh   *Mesh
	ln     net.Listener
	handle func(ctx context.Context, req *berylrequest.Request) *berylreply.Reply

	mu        sync.Mutex
	conns     map[*conn]*request
	accepting bool // Run has not returned
	draining  bool // no request is read
	workEnded bool // no request is handled
	closed    bool
	wg        sync.WaitGroup
}

// request is the request that a connection has, if any.
type request struct {
	running bool   // from its first byte until its reply is written
	cancel  func() // while it is handled, else nil
}

const (
	watchDelay       = 100 * time.Millisecond // requests that take longer are canceled when the sender closes the connection
	watchInterval    = 150 * time.Millisecond
	acceptRetryDelay = 5 * time.Millisecond // after a failed accept, for example with too many open files
)

const peerAddr = "" // stands for all instances, whose callers are held to the limit of an address already

const panicPart = "connection of an instance" // in logs and metrics

// NewServer returns a server that passes requests from ln to handle once Run is called.
func (m *Mesh) NewServer(ln net.Listener, handle func(ctx context.Context, req *berylrequest.Request) *berylreply.Reply) *Server {
	return &Server{mesh: m, ln: ln, handle: handle, conns: map[*conn]*request{}}
}

// Run accepts connections until the listener is closed.
func (s *Server) Run(ctx context.Context) {
	s.setAccepting(true)
	defer s.setAccepting(false)
	for {
		nc, err := s.ln.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
				return
			}
			time.Sleep(acceptRetryDelay)
			continue
		}
		c := newConn(nc)
		if s.mesh.memory != nil {
			c.mem = s.mesh.memory.Open(peerAddr, nil)
		}
		if !s.start(ctx, c) {
			c.close()
			return
		}
	}
}

func (s *Server) setAccepting(accepting bool) {
	s.mu.Lock()
	s.accepting = accepting
	s.mu.Unlock()
}

// start serves a connection in a goroutine. It returns false if the server is closed.
func (s *Server) start(ctx context.Context, c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	r := &request{}
	s.conns[c] = r
	s.wg.Go(func() {
		s.mesh.guard(panicPart, func() { s.serveConn(ctx, c, r) })
		c.close()
		if c.mem != nil {
			c.mem.Close()
		}
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	})
	return true
}

// Close closes the listener and all connections and waits until their requests have
// ended. The context of Run must have ended.
func (s *Server) Close() {
	_ = s.ln.Close() // Fails only if it was closed before.
	s.mu.Lock()
	s.closed = true
	for c := range s.conns {
		c.close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

// serveConn handles the requests of one connection one after the other.
func (s *Server) serveConn(ctx context.Context, c *conn, r *request) {
	for !s.isDraining() {
		if _, err := c.br.Peek(1); err != nil && !s.isDraining() {
			return // The peer closed the connection.
		}
		if !s.beginRequest(r) {
			break
		}
		req, err := s.mesh.readRequest(c)
		var noMemory memoryError
		switch {
		case errors.As(err, &noMemory):
			if !s.refuseForMemory(c, noMemory.chunked) {
				return
			}
		case err != nil:
			return // The peer closed the connection or is not an instance.
		case !s.serveRequest(ctx, c, req, r):
			return
		}
		c.release()
		s.endRequest(r)
	}
	s.refuseNext(c)
}

// refuseForMemory refuses a request that may not be held. It returns false if the connection
// can't be used again, because the body of the request is still to come.
func (s *Server) refuseForMemory(c *conn, bodyToCome bool) bool {
	s.mesh.onNoMemory()
	refusal := berylreply.NewFailure(berylattempt.Unsent, berylreply.ReasonQueueFull)
	if bodyToCome {
		s.refuse(c, refusal)
		return false
	}
	_ = c.nc.SetWriteDeadline(time.Now().Add(writeTimeout)) // Fails only if the connection is closed.
	return s.mesh.writeReply(c, &berylrequest.Request{}, refusal) == nil
}

// serveRequest handles one request and reports whether the connection can be used again.
func (s *Server) serveRequest(parent context.Context, c *conn, req *berylrequest.Request, r *request) bool {
	ctx, limit := beryltimelimit.New(parent, req.Deadline)
	defer limit.Cancel()
	s.setCancel(r, limit.Cancel)
	stop := cancelOnClose(c, limit.Cancel)
	reply := s.handle(ctx, req)
	stop()
	s.setCancel(r, nil)
	if reply.Stream != nil {
		reply.Stream = limit.Stream(reply.Stream)
	}
	defer reply.Close()
	if body, ok := req.Stream.(*chunkReader); ok && !body.done.Load() {
		// The rest of the request body is still to come, so the connection cannot be reused. The
		// backend server may read on until it has answered.
		_ = c.nc.SetWriteDeadline(time.Now().Add(writeTimeout)) // Fails only if the connection is closed.
		if s.mesh.writeReply(c, req, reply) == nil {
			body.stop(c.nc)
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
