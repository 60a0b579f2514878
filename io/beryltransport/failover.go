package beryltransport

import (
	"context"
	"crypto/tls"
	"errors"
	"net/http"
	"sync"
	"time"
)

// FailoverClient is an HTTP/2 client that replaces the connection to an address by a new
// one when a request on it exceeds its deadline without a response, or when a request asks
// for it (see WithFailover). This is much faster than waiting until HTTP/2 pings detect a
// dead connection. It is safe for concurrent use.
type FailoverClient struct {
	newClient func() *http.Client
	shared    *http.Client // for addresses whose connection was not replaced

	mu       sync.Mutex
	replaced map[string]replacement // by address
}

// replacement is the client that has the current connection to an address.
type replacement struct {
	client *http.Client
	since  time.Time
}

const (
	// failoverCooldown is the minimum time between two replacements that requests to the
	// same address ask for.
	failoverCooldown = pingAfterIdle + pingTimeout
	// minConnAge is how long a new connection is kept although requests on it exceed their
	// deadlines, so that an overloaded daemon is not dialled for each of them.
	minConnAge = 150 * time.Millisecond
	// replacementTTL is the time after which an address uses the shared client again. A dead
	// connection of the shared client has been closed long before.
	replacementTTL = 10 * time.Minute
)

// NewFailoverClient returns a client. If tlsConfig is nil, connections are plaintext.
func NewFailoverClient(dial Dial, tlsConfig *tls.Config) *FailoverClient {
	newClient := func() *http.Client { return HTTP2(dial, tlsConfig) }
	return &FailoverClient{newClient: newClient, shared: newClient(), replaced: map[string]replacement{}}
}

type failoverKey struct{}

// WithFailover returns a context for requests that should not use the current connection to
// their address. A FailoverClient replaces the connection before it sends such a request,
// unless it did so within failoverCooldown.
func WithFailover(ctx context.Context) context.Context {
	return context.WithValue(ctx, failoverKey{}, true)
}

// Do sends the request on the current connection to its host.
func (f *FailoverClient) Do(req *http.Request) (*http.Response, error) {
	host := req.URL.Host
	if req.Context().Value(failoverKey{}) != nil {
		f.replace(host, f.client(host), failoverCooldown)
	}
	client := f.client(host)
	res, err := client.Do(req)
	if err != nil && errors.Is(req.Context().Err(), context.DeadlineExceeded) {
		f.replace(host, client, minConnAge)
	}
	return res, err
}

func (f *FailoverClient) client(host string) *http.Client {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.clientLocked(host)
}

func (f *FailoverClient) clientLocked(host string) *http.Client {
	if r, ok := f.replaced[host]; ok {
		return r.client
	}
	return f.shared
}

// replace makes further requests to host use a new connection if they would use that of
// client, unless it is younger than minAge. Requests that run on the old connection end
// there.
func (f *FailoverClient) replace(host string, client *http.Client, minAge time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if f.clientLocked(host) != client || now.Sub(f.replaced[host].since) < minAge {
		return
	}
	if client != f.shared {
		client.CloseIdleConnections()
	}
	f.replaced[host] = replacement{client: f.newClient(), since: now}
	for other, r := range f.replaced {
		if now.Sub(r.since) > replacementTTL {
			r.client.CloseIdleConnections()
			delete(f.replaced, other)
		}
	}
}

// CloseIdleConnections closes all connections on which no request is running.
func (f *FailoverClient) CloseIdleConnections() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.shared.CloseIdleConnections()
	for _, r := range f.replaced {
		r.client.CloseIdleConnections()
	}
}
