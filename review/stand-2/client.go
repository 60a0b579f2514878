package main

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Ask is one request of a client.
type Ask struct {
	Method, Host, Path, ID, Key string
	Body                        []byte
	Limit                       time.Duration
	Leave                       time.Duration // after which the client closes its connection, 0 for Limit
	Chunked                     bool          // the body is sent in chunks
}

// Answer is what a client got: Status 0 if no whole answer came.
type Answer struct {
	Status    int
	Signature string
	Bytes     int
	Err       error
}

// send sends a request to a machine on a connection of its own and records it.
func (m *Machine) send(a Ask) Answer {
	m.p.log("sent", a.ID, m.name, a.Method+" "+a.Path)
	ctx, cancel := context.WithTimeout(context.Background(), cmp.Or(a.Leave, a.Limit))
	defer cancel()
	tr := &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, DisableCompression: true}
	defer tr.CloseIdleConnections()
	req, err := http.NewRequestWithContext(ctx, a.Method, "http://"+m.outbound()+a.Path, bytes.NewReader(a.Body))
	if err != nil {
		return Answer{Err: err}
	}
	req.Host = a.Host
	if a.Chunked {
		req.ContentLength = -1
	}
	req.Header.Set("X-Attempt-Id", a.ID)
	req.Header.Set("X-Request-Deadline", fmt.Sprint(a.Limit.Milliseconds()))
	if a.Key != "" {
		req.Header.Set("X-Credential", a.Key)
	}
	resp, err := (&http.Client{Transport: tr}).Do(req)
	if err != nil {
		m.p.log("got", a.ID, m.name, "no answer: "+err.Error())
		return Answer{Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	out := Answer{Status: resp.StatusCode, Signature: resp.Header.Get("X-Response-Signature"), Bytes: len(data), Err: err}
	if err != nil {
		m.p.log("got", a.ID, m.name, fmt.Sprintf("an answer %d that breaks off after %d bytes: %v", resp.StatusCode, len(data), err))
		out.Status = 0
		return out
	}
	m.p.log("got", a.ID, m.name, fmt.Sprintf("%d, %d bytes, signature %q, retry after %q", out.Status, out.Bytes, out.Signature, resp.Header.Get("Retry-After")))
	return out
}

// route returns a route of the configuration.
func route(prefix, kind, service string, attempts int, timeout float64) map[string]any {
	return map[string]any{
		"host": "shop.example", "path_prefix": prefix, "route_type": kind, "timeout_s": timeout, "target_latency_s": 1, "priority": 1, "service": service, "max_attempts": attempts,
	}
}

// configure publishes a configuration.
func (p *Platform) configure(version int, routes map[string]any, services ...string) {
	s := map[string]any{}
	for _, name := range services {
		s[name] = map[string]any{"max_connections": 400, "health_path": "/health"}
	}
	p.store.Put("op/config", map[string]any{
		"version": version, "routes": routes, "services": s,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4 << 20, "header_timeout_s": 5, "idle_timeout_s": 20},
		"tenants": map[string]any{"acme": map[string]any{"api_keys": []string{"k-acme"}, "priority": 1, "rate_per_s": 0, "burst_size": 0}},
	})
}
