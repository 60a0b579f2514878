// Package beryltransport provides HTTP clients for connections to other daemons, backend
// servers and the platform.
package beryltransport

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"
)

// Dial opens a connection. Tests and the demo wrap it to inject delays and faults.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

const (
	dialTimeout   = 500 * time.Millisecond
	pingAfterIdle = 400 * time.Millisecond
	pingTimeout   = 500 * time.Millisecond
	idleTimeout   = time.Minute

	maxResponseHead   = 64 << 10  // bytes of status line and header
	streamBufferBytes = 256 << 10 // received but not yet read
	connBufferBytes   = 8 << 20
)

// NetDial returns a Dial that opens network connections with net.Dialer.
func NetDial() Dial {
	d := &net.Dialer{Timeout: dialTimeout}
	return d.DialContext
}

// HTTP2 returns a client that speaks HTTP/2 and closes connections that do not answer
// pings. If tlsConfig is nil, connections are plaintext. It does not follow redirects.
func HTTP2(dial Dial, tlsConfig *tls.Config) *http.Client {
	t := newTransport(dial, tlsConfig)
	t.Protocols.SetHTTP2(tlsConfig != nil)
	t.Protocols.SetUnencryptedHTTP2(tlsConfig == nil)
	t.HTTP2 = &http.HTTP2Config{
		SendPingTimeout:               pingAfterIdle,
		PingTimeout:                   pingTimeout,
		MaxReceiveBufferPerStream:     streamBufferBytes,
		MaxReceiveBufferPerConnection: connBufferBytes,
	}
	return newClient(t)
}

// DisableKeepAlives makes a client use a connection for each request.
func DisableKeepAlives(t *http.Transport) { t.DisableKeepAlives = true }

// HTTP1 returns a client that speaks HTTP/1.1 in plaintext. It does not follow redirects.
func HTTP1(dial Dial, opts ...func(*http.Transport)) *http.Client {
	t := newTransport(detectResets(dial), nil)
	t.Protocols.SetHTTP1(true)
	t.MaxIdleConnsPerHost = 64
	for _, opt := range opts {
		opt(t)
	}
	return newClient(t)
}

func newClient(t *http.Transport) *http.Client {
	return &http.Client{Transport: CheckStatus(t), CheckRedirect: refuseRedirect}
}

func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

func newTransport(dial Dial, tlsConfig *tls.Config) *http.Transport {
	return &http.Transport{
		DialContext:         dial,
		TLSClientConfig:     tlsConfig,
		TLSHandshakeTimeout: dialTimeout,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxResponseHead,
		Protocols:              &http.Protocols{},
	}
}
