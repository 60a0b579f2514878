// Package berylhttpserver is an HTTP/1.1 server for callers. It runs pipelined requests
// concurrently and sends their answers in the order of the requests.
//
// The server of net/http is not used because it runs the requests of a connection one
// after another, and does not notice that a caller has disconnected while more bytes of
// it wait to be read.
package berylhttpserver

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"berylspan/core/berylconnectionlimit"
	"berylspan/core/berylmemorybudget"
	"berylspan/io/berylmemory"
	"berylspan/io/berylpanic"
)

// Limits are the limits for the connections and requests of callers.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	MaxHeaderLines int           // 0 for no limit
	HeaderTimeout  time.Duration // for reading the header of a request, from its first byte
	IdleTimeout    time.Duration // for a connection without a request
}

// Server serves the connections of one listener. Handle is called for each request in a
// separate goroutine; its context is cancelled when the caller disconnects.
// MustRunInOrder reports whether a pipelined request must not run before the answers to
// all earlier requests on its connection are written.
type Server struct {
	Handle         func(ctx context.Context, r *Request) *Answer
	MustRunInOrder func(r *Request) bool
	Limits         func() Limits

	guard              func(part string, f func()) bool
	requestID          func(h http.Header) string
	onUnanswered       func(u Unanswered)
	refuse             func(r *Request) *Answer
	isNeeded           func() bool
	serves             func(r *Request) bool
	memory             *berylmemory.Memory
	refuseOverloaded   func(r *Request) *Answer
	connLimit          func() berylconnectionlimit.Limit
	onLimited          func(l Limited)
	ln                 net.Listener
	writers            sync.Pool
	mu                 sync.Mutex
	conns              map[*conn]struct{}
	accepting          bool // Run has not returned
	closed             bool // new connections are closed
	keepAlivesDisabled bool // also applies to new connections
	restricted         bool // as above
	wg                 sync.WaitGroup
}

// Guard sets the function that runs the handling of one connection or request and reports
// whether it returned without a panic. After a panic the connection is closed.
func Guard(run func(part string, f func()) bool) func(*Server) {
	return func(s *Server) { s.guard = run }
}

// New returns a server for ln. Run must be called to start it.
func New(ln net.Listener, handle func(context.Context, *Request) *Answer, mustRunInOrder func(*Request) bool, limits func() Limits, opts ...func(*Server)) *Server {
	s := &Server{
		Handle: handle, MustRunInOrder: mustRunInOrder, Limits: limits, guard: berylpanic.Unguarded,
		requestID: func(http.Header) string { return "" }, onUnanswered: func(Unanswered) {}, refuse: refuseUnavailable,
		isNeeded: func() bool { return false }, serves: func(*Request) bool { return false },
		memory: berylmemory.New(berylmemorybudget.Limits{}), refuseOverloaded: refuseOverloaded,
		connLimit: func() berylconnectionlimit.Limit { return berylconnectionlimit.Limit{} }, onLimited: func(Limited) {},
		ln: ln, conns: map[*conn]struct{}{},
	}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// writer returns a buffered writer to w, from the pool if possible.
func (s *Server) writer(w io.Writer) *bufio.Writer {
	if bw, ok := s.writers.Get().(*bufio.Writer); ok {
		bw.Reset(w)
		return bw
	}
	return bufio.NewWriterSize(w, writeBufferSize)
}

const panicPart = "connection of a caller" // in logs and metrics

const acceptRetryDelay = 5 * time.Millisecond // after a failed accept, for example because of too many open files

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
		if !s.makeRoom() {
			_ = nc.Close() // Nothing has been read from it.
			continue
		}
		c := newConn(ctx, s, nc)
		if !s.start(c) {
			c.cancel()
			_ = nc.Close() // Nothing has been read from it.
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
func (s *Server) start(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[c] = struct{}{}
	if s.keepAlivesDisabled {
		c.disableKeepAlive()
	}
	if s.restricted {
		c.restrictNew()
	}
	s.wg.Go(func() {
		if !s.guard(panicPart, c.serve) {
			c.abort(errPanic)
		}
		c.mem.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	})
	return true
}

// DisableKeepAlives makes the server close every connection after the next answer that
// leaves it without a pending request. Requests with streamed bodies are no longer started, unless
// ServeWhileStopping serves them.
func (s *Server) DisableKeepAlives() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keepAlivesDisabled = true
	for c := range s.conns {
		c.disableKeepAlive()
	}
}

// Drain stops accepting connections and reading requests; ServeWhileStopping may defer that. It
// waits until all requests that were read are answered and all connections closed. Requests whose
// bodies are still arriving after 400 ms, or half of timeout if that is less, are refused unless
// they have been started: their callers can go elsewhere at once. A request with a streamed body
// is no longer started at all. After timeout it ends what is left and waits for another
// answerTime at most: the context of requests that are being handled is cancelled with
// ErrStopping as cause, requests that have not been started are refused, and the answers of each
// connection are written in order. Answers whose bodies are being streamed go on until then.
func (s *Server) Drain(timeout, answerTime time.Duration) {
	s.mu.Lock()
	s.keepAlivesDisabled = true
	s.mu.Unlock()
	begin := time.Now()
	endBodies := begin.Add(min(bodyTime, timeout/2))
	endWork := begin.Add(timeout)
	endAnswers := endWork.Add(answerTime)
	s.drainWhileNeeded(endBodies, endWork)
	_ = s.ln.Close() // Fails only if it is closed already.
	s.pollConns(endBodies, func(c *conn) {
		c.disableKeepAlive()
		c.stopReading()
	})
	s.pollConns(endWork, func(c *conn) {
		c.disableKeepAlive()
		c.stopReading()
		c.endBodies()
	})
	s.pollConns(endAnswers, func(c *conn) {
		c.disableKeepAlive()
		c.stopReading()
		c.endWork(endAnswers)
	})
}

const (
	bodyTime          = 400 * time.Millisecond // for bodies that are arriving when a stop begins
	drainPollInterval = 10 * time.Millisecond
)

// pollConns calls f for each connection again and again until there are none and no more can
// come, or until deadline.
func (s *Server) pollConns(deadline time.Time, f func(c *conn)) {
	for ; time.Now().Before(deadline) && !s.isDrained(); time.Sleep(drainPollInterval) {
		s.eachConn(f)
	}
}

func (s *Server) eachConn(f func(c *conn)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		f(c)
	}
}

func (s *Server) isDrained() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns) == 0 && !s.accepting
}

// Close closes the listener and all connections, cancels the requests that are not answered,
// and waits until the connections are no longer served.
func (s *Server) Close() {
	_ = s.ln.Close() // Fails only if it is closed already.
	s.mu.Lock()
	s.closed = true
	for c := range s.conns {
		c.removeAllUnanswered()
		c.cancel()
		_ = c.nc.Close() // It may be closed already.
	}
	s.mu.Unlock()
	s.wg.Wait()
}

// Busy returns the number of requests that were read and whose answers are not yet
// written.
func (s *Server) Busy() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for c := range s.conns {
		n += c.busy()
	}
	return n
}
