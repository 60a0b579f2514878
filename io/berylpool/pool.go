// Package berylpool keeps the HTTP/1.1 connections to the backend server beside
// the instance.
//
// It exists beside net/http's transport because it must know for certain
// whether a request was sent, must tell answers that belong to another request
// by their id, and must never send a request a second time.
package berylpool

import (
	"context"
	"net"
	"sync"
	"time"

	"berylspan/core/berylheadernames"
	"berylspan/io/berylprobe"
)

// Pool is safe for concurrent use.
type Pool struct {
	addr  string
	names berylheadernames.Names
	dial  func(ctx context.Context, addr string) (net.Conn, error)

	mu     sync.Mutex
	idle   []*link
	closed bool
}

const (
	dialTimeout = time.Second
	mostIdle    = 128
	keepMargin  = time.Second      // before the server's own idle timeout
	keepUnknown = 3 * time.Second  // where the server does not tell its timeout
	keepMost    = 30 * time.Second // whatever it tells
	keepOnce    = 700 * time.Millisecond
)

// New returns a pool for the backend server at addr.
func New(addr string, names berylheadernames.Names) *Pool {
	d := &net.Dialer{Timeout: dialTimeout}
	return &Pool{addr: addr, names: names, dial: func(ctx context.Context, addr string) (net.Conn, error) {
		return d.DialContext(ctx, "tcp", addr)
	}}
}

// get returns an idle connection that looks alive, or a new one. Requests that
// must not run twice only use one that was in use a moment ago: a connection
// that the server forgot would leave open whether they ran.
func (p *Pool) get(ctx context.Context, once bool) (*link, error) {
	now := time.Now()
	for {
		p.mu.Lock()
		n := len(p.idle)
		if n == 0 {
			p.mu.Unlock()
			break
		}
		l := p.idle[n-1]
		if once && now.Sub(l.since) > keepOnce {
			p.mu.Unlock()
			break
		}
		p.idle = p.idle[:n-1]
		p.mu.Unlock()
		if now.Before(l.until) && l.quiet() {
			return l, nil
		}
		l.close()
	}
	nc, err := p.dial(ctx, p.addr)
	if err != nil {
		return nil, err
	}
	return newLink(nc), nil
}

// put keeps a connection for the next request.
func (p *Pool) put(l *link) {
	now := time.Now()
	l.since = now
	l.until = now.Add(l.keep)
	p.mu.Lock()
	var old []*link
	for len(p.idle) > 0 && (now.After(p.idle[0].until) || len(p.idle) >= mostIdle) {
		old = append(old, p.idle[0])
		p.idle = p.idle[1:]
	}
	if p.closed {
		old = append(old, l)
	} else {
		p.idle = append(p.idle, l)
	}
	p.mu.Unlock()
	for _, o := range old {
		o.close()
	}
}

// Close ends idle connections and keeps no more.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.closed = nil, true
	p.mu.Unlock()
	for _, l := range idle {
		l.close()
	}
}

// quiet tells whether nothing waits to be read: neither the end of the
// connection nor bytes that belong to no request.
func (l *link) quiet() bool {
	return l.br.Buffered() == 0 && berylprobe.Look(l.nc) == berylprobe.Quiet
}
