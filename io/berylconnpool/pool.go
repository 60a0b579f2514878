// Package berylconnpool is an HTTP/1.1 client with a connection pool for the backend server
// of the instance.
//
// The transport of net/http is not used because the pool must know for certain whether a
// request was sent, must recognize answers to other requests by their id, and must never
// send a request twice.
package berylconnpool

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"berylspan/core/berylheadernames"
	"berylspan/io/berylpanic"
	"berylspan/io/berylsocket"

	"github.com/rotisserie/eris"
)

// Pool sends requests to one backend server and reuses idle connections. It is safe for
// concurrent use.
type Pool struct {
	addr  string
	names berylheadernames.Names
	dial  func(ctx context.Context, addr string) (net.Conn, error)
	guard func(part string, f func()) bool

	onDiscarded func(Discarded)
	maxOpen     func() int // connections that the server accepts, 0 if unknown

	mu               sync.Mutex
	idle             []*conn // the longest idle first
	closed           bool
	open             int          // connections
	errorHasID       map[int]bool // by status, whether the last error response that certainly answered a request had its id
	rejectionOmitsID bool         // as above, whether the last rejection had none
}

const (
	dialTimeout          = time.Second
	maxIdle              = 128                    // connections
	idleMargin           = time.Second            // a connection is no longer used this long before the server's idle timeout
	defaultIdleTimeout   = 3 * time.Second        // if the server does not announce its idle timeout
	maxIdleTimeout       = 30 * time.Second       // even if the server announces a longer one
	nonIdempotentMaxIdle = 700 * time.Millisecond // longest idle time of a connection used for a request that must not run twice
	orderlyCloseTimeout  = 100 * time.Millisecond // for the server to close its side
	socketBytes          = 64 << 10               // received and not yet read, that the kernel holds at most for a connection
)

// Guard sets the function that runs the writing of a streamed request body and reports
// whether it returned without a panic. After a panic the connection is closed.
func Guard(run func(part string, f func()) bool) func(*Pool) { return func(p *Pool) { p.guard = run } }

// OnDiscarded sets a function that is called for every response that is not believed to answer the
// request under way.
func OnDiscarded(f func(Discarded)) func(*Pool) { return func(p *Pool) { p.onDiscarded = f } }

// MaxOpen sets the function that returns how many connections the server accepts, 0 if that is
// unknown. The server resets further ones.
func MaxOpen(f func() int) func(*Pool) { return func(p *Pool) { p.maxOpen = f } }

// New returns a pool for the backend server at addr.
func New(addr string, names berylheadernames.Names, opts ...func(*Pool)) *Pool {
	d := &net.Dialer{Timeout: dialTimeout, Control: berylsocket.SetReadBuffer(socketBytes)}
	p := &Pool{addr: addr, names: names, guard: berylpanic.Unguarded, onDiscarded: func(Discarded) {}, maxOpen: func() int { return 0 }, errorHasID: map[int]bool{}, dial: func(ctx context.Context, addr string) (net.Conn, error) {
		return d.DialContext(ctx, "tcp", addr)
	}}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// get returns an idle connection that appears to be open and on which the id of the request was
// never sent, or a new one. A request that must not run twice only gets an idle connection that
// was in use a short time ago: if the server has dropped the connection, it is unknown whether
// the request ran. It gets none if the server's rejections have no id: on a connection that was
// used they prove nothing.
func (p *Pool) get(ctx context.Context, r *Request) (*conn, error) {
	now := time.Now()
	for c := p.takeIdle(now, r); c != nil; c = p.takeIdle(now, r) {
		if now.Before(c.idleUntil) && c.reusable() {
			return c, nil
		}
		c.close()
	}
	return p.connect(ctx)
}

// connect opens a connection. If the server accepts no other, it closes the one that has been idle
// longest first.
func (p *Pool) connect(ctx context.Context) (*conn, error) {
	limit := p.maxOpen()
	p.mu.Lock()
	var c *conn
	if limit > 0 && p.open >= limit && len(p.idle) > 0 {
		c = p.idle[0]
		p.idle = slices.Delete(p.idle, 0, 1)
	}
	p.open++
	p.mu.Unlock()
	if c != nil {
		c.closeOrderly(ctx)
	}
	nc, err := p.dial(ctx, p.addr)
	if err != nil {
		p.recordClosed()
		return nil, err
	}
	return newConn(nc, sync.OnceFunc(p.recordClosed)), nil
}

func (p *Pool) recordClosed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// takeIdle takes the connection that became idle last of those that the request may be sent on,
// nil if there is none.
func (p *Pool) takeIdle(now time.Time, r *Request) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.NonIdempotent && p.rejectionOmitsID {
		return nil
	}
	for i, c := range slices.Backward(p.idle) {
		if r.NonIdempotent && now.Sub(c.idleSince) > nonIdempotentMaxIdle {
			return nil
		}
		if !c.sent.Contains(r.ID) {
			p.idle = slices.Delete(p.idle, i, i+1)
			return c
		}
	}
	return nil
}

// recordErrorID records whether an error response that certainly answered a request had its id.
func (p *Pool) recordErrorID(status int, rejection, hasID bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.errorHasID[status] = hasID
	if rejection {
		p.rejectionOmitsID = !hasID
	}
}

// errorsHaveID reports whether the server's error responses with a status are known to have
// ids.
func (p *Pool) errorsHaveID(status int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.errorHasID[status]
}

// Dial opens a connection and keeps it for a later request. It returns the error of the
// dial, syscall.ECONNREFUSED among others.
func (p *Pool) Dial(ctx context.Context) error {
	c, err := p.connect(ctx)
	if err != nil {
		return eris.Wrapf(err, "dial backend server at %s", p.addr)
	}
	p.put(c)
	return nil
}

// put keeps a connection for reuse. It closes connections that have been idle for too
// long or exceed maxIdle.
func (p *Pool) put(c *conn) {
	now := time.Now()
	c.idleSince = now
	c.idleUntil = now.Add(c.idleTimeout)
	p.mu.Lock()
	var toClose []*conn
	for len(p.idle) > 0 && (now.After(p.idle[0].idleUntil) || len(p.idle) >= maxIdle) {
		toClose = append(toClose, p.idle[0])
		p.idle = p.idle[1:]
	}
	if p.closed {
		toClose = append(toClose, c)
	} else {
		p.idle = append(p.idle, c)
	}
	p.mu.Unlock()
	for _, e := range toClose {
		e.close()
	}
}

// EvictIdle closes connections that have been idle for too long, that the server has closed,
// or on which it sends something although no request is under way: such bytes would fill the
// receive buffer until the next use.
func (p *Pool) EvictIdle() {
	now := time.Now()
	p.mu.Lock()
	var toClose []*conn
	kept := p.idle[:0]
	for _, c := range p.idle {
		if now.Before(c.idleUntil) && c.reusable() {
			kept = append(kept, c)
		} else {
			toClose = append(toClose, c)
		}
	}
	clear(p.idle[len(kept):])
	p.idle = kept
	p.mu.Unlock()
	for _, c := range toClose {
		c.close()
	}
}

// Close closes the idle connections. Connections in use are closed after their request.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.closed = nil, true
	p.mu.Unlock()
	for _, c := range idle {
		c.close()
	}
}

// reusable reports whether the connection can be used for another request: the server
// has not closed it and no unexpected bytes are waiting to be read.
func (c *conn) reusable() bool {
	return c.br.Buffered() == 0 && berylsocket.Peek(c.nc) == berylsocket.Empty
}
