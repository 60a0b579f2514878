// Package berylserver runs the HTTP servers of a daemon, one per listening address.
package berylserver

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// Server is an HTTP server on one address. It serves from its creation until Stop or Close.
type Server struct {
	http    *http.Server
	ln      net.Listener
	cancel  context.CancelCauseFunc // of the contexts of all requests
	running atomic.Int64            // requests
	limits  *limiter                // nil without
	done    chan error              // receives the result of serving, then is closed
}

const (
	headerTimeout       = 5 * time.Second
	idleTimeout         = 2 * time.Minute
	maxHeaderBytes      = 64 << 10
	pingAfterIdle       = 10 * time.Second
	pingTimeout         = 5 * time.Second
	maxStreamsPerConn   = 1000 // of another daemon or the backend server
	maxStreamsPerCaller = 250  // on one connection of a caller that is held to limits
	streamBufferBytes   = 256 << 10
	connBufferBytes     = 4 << 20
)

// Start listens on addr and serves HTTP/1 and HTTP/2 in the background. If tlsConfig is
// nil, connections are plaintext.
func Start(addr string, handler http.Handler, tlsConfig *tls.Config) (*Server, error) {
	ln, err := Listen(addr)
	if err != nil {
		return nil, err
	}
	return Serve(ln, handler, tlsConfig), nil
}

// Listen opens a TCP listener for Serve.
func Listen(addr string) (net.Listener, error) {
	ln, err := new(net.ListenConfig).Listen(context.Background(), "tcp", addr)
	return ln, eris.Wrap(err, "listen")
}

// Serve serves HTTP/1 and HTTP/2 on ln in the background. If tlsConfig is nil, connections
// are plaintext.
func Serve(ln net.Listener, handler http.Handler, tlsConfig *tls.Config, opts ...func(*Server)) *Server {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(tlsConfig != nil)
	protocols.SetUnencryptedHTTP2(tlsConfig == nil)
	ctx, cancel := context.WithCancelCause(context.Background())
	s := &Server{ln: ln, cancel: cancel, done: make(chan error, 1)}
	for _, opt := range opts {
		opt(s)
	}
	streams := maxStreamsPerConn
	if s.limits != nil {
		handler, streams = s.limits.handler(handler), maxStreamsPerCaller
	}
	s.http = &http.Server{
		Handler:           s.count(handler),
		BaseContext:       func(net.Listener) context.Context { return ctx },
		Protocols:         protocols,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		TLSConfig:         tlsConfig,
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams: streams,
			SendPingTimeout:      pingAfterIdle,
			PingTimeout:          pingTimeout,

			MaxReceiveBufferPerStream:     streamBufferBytes,
			MaxReceiveBufferPerConnection: connBufferBytes,
		},
	}
	if s.limits != nil {
		s.http.ConnState = s.limits.connChanged
		s.http.HTTP2.WriteByteTimeout = transferTimeout
	}
	go func() {
		s.done <- s.serve(tlsConfig)
		close(s.done)
	}()
	return s
}

func (s *Server) count(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.running.Add(1)
		defer s.running.Add(-1)
		h.ServeHTTP(w, r)
	})
}

func (s *Server) serve(tlsConfig *tls.Config) error {
	if tlsConfig != nil {
		return s.http.ServeTLS(s.ln, "", "")
	}
	return s.http.Serve(s.ln)
}

// Addr returns the address of the listener, with the actual port if port 0 was requested.
func (s *Server) Addr() string { return s.ln.Addr().String() }

// Cancel ends the contexts of the running requests with cause and returns how many there were.
func (s *Server) Cancel(cause error) int {
	n := int(s.running.Load())
	s.cancel(cause)
	return n
}

// Stop shuts the server down gracefully: it stops accepting connections, tells HTTP/2
// clients by GOAWAY to open no more streams, and waits for running requests. If ctx ends
// first, it closes the remaining connections, and returns an error if requests were running.
func (s *Server) Stop(ctx context.Context) error {
	if err := s.http.Shutdown(ctx); err != nil {
		// net/http waits for connections, also for those that no request has come on yet.
		if n := s.running.Load(); n > 0 {
			return errors.Join(eris.Wrapf(err, "stop with %d requests running", n), s.Close())
		}
		return s.Close()
	}
	if err := <-s.done; err != nil && !errors.Is(err, http.ErrServerClosed) {
		return eris.Wrap(err, "stop")
	}
	return nil
}

// Close closes the listener and all connections without waiting for running requests.
func (s *Server) Close() error {
	err := s.http.Close()
	if e := <-s.done; e != nil && !errors.Is(e, http.ErrServerClosed) {
		err = errors.Join(err, e)
	}
	return eris.Wrap(err, "close")
}
