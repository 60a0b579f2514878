package beryltransport

import (
	"context"
	"crypto/tls"
	"errors"
	"net/http"
	"sync"
	"time"
)

// FailoverClient is an HTTP/2 client that has two connections to each address and uses one
// of them at a time. It switches to the other one when a request exceeds its deadline
// without a response, or when a request asks for it (see WithFailover). This is much
// faster than waiting until HTTP/2 pings detect a dead connection. It is safe for
// concurrent use.
type FailoverClient struct {
	clients [2]*http.Client
	mu      sync.Mutex
	active  map[string]activeConn
}

// activeConn tells which connection to an address is in use, and since when.
type activeConn struct {
	index int
	since time.Time
}

// failoverCooldown is the minimum time between two switches for the same address. When it
// has passed, HTTP/2 pings have closed the previous connection if it was dead, so switching
// back does not reuse it.
const failoverCooldown = pingAfterIdle + pingTimeout

// NewFailoverClient returns a client. If tlsConfig is nil, connections are plaintext.
func NewFailoverClient(dial Dial, tlsConfig *tls.Config) *FailoverClient {
	f := &FailoverClient{active: map[string]activeConn{}}
	for i := range f.clients {
		f.clients[i] = HTTP2(dial, tlsConfig)
	}
	return f
}

type failoverKey struct{}

// WithFailover returns a context for requests that should not use the currently active
// connection to their address. A FailoverClient switches connections before it sends such
// a request, unless it switched within failoverCooldown.
func WithFailover(ctx context.Context) context.Context {
	return context.WithValue(ctx, failoverKey{}, true)
}

// Do sends the request on the active connection to its host.
func (f *FailoverClient) Do(req *http.Request) (*http.Response, error) {
	host := req.URL.Host
	if req.Context().Value(failoverKey{}) != nil {
		f.failOver(host)
	}
	res, err := f.clients[f.activeIndex(host)].Do(req)
	if err != nil && errors.Is(req.Context().Err(), context.DeadlineExceeded) {
		f.failOver(host)
	}
	return res, err
}

func (f *FailoverClient) activeIndex(host string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.active[host].index
}

// failOver switches to the other connection to host, unless the last switch was within
// failoverCooldown.
func (f *FailoverClient) failOver(host string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	current := f.active[host]
	if now := time.Now(); now.Sub(current.since) > failoverCooldown {
		f.active[host] = activeConn{index: 1 - current.index, since: now}
	}
}

// CloseIdleConnections closes all connections on which no request is running.
func (f *FailoverClient) CloseIdleConnections() {
	for _, c := range f.clients {
		c.CloseIdleConnections()
	}
}
