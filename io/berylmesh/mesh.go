// Package berylmesh carries requests between instances over HTTP/2 connections
// that are kept open.
package berylmesh

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"berylspan/core/berylend"
	"berylspan/core/berylnames"
	"berylspan/io/berylreply"
	"berylspan/io/berylwork"

	"golang.org/x/sys/unix"
)

// Mesh sends work to other instances. It is safe for concurrent use.
type Mesh struct {
	names     berylnames.Names
	transport *http.Transport
}

const (
	dialTimeout  = 400 * time.Millisecond
	unackedMost  = 1500 * time.Millisecond // until a connection whose bytes are not acknowledged is given up
	pingAfter    = 1500 * time.Millisecond // without a frame on a connection
	pingTimeout  = time.Second
	idleTimeout  = 20 * time.Second
	wholeAnswer  = 64 << 10 // bytes; longer answers are streamed
	streamBuffer = 256 << 10
	connBuffer   = 1 << 20
	mostStreams  = 1000
)

// New returns a mesh.
func New(names berylnames.Names) *Mesh {
	d := &net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: Unacked}
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	return &Mesh{names: names, transport: &http.Transport{
		DialContext:        d.DialContext,
		Protocols:          protocols,
		DisableCompression: true,
		IdleConnTimeout:    idleTimeout,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout:               pingAfter,
			PingTimeout:                   pingTimeout,
			MaxReceiveBufferPerStream:     streamBuffer,
			MaxReceiveBufferPerConnection: connBuffer,
		},
	}}
}

// Unacked makes a socket fail when its bytes are not acknowledged for long.
func Unacked(_, _ string, c syscall.RawConn) error {
	var err error
	if e := c.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedMost.Milliseconds()))
	}); e != nil {
		return e
	}
	return err
}

// Close ends idle connections.
func (m *Mesh) Close() { m.transport.CloseIdleConnections() }

// Send sends the work to the instance at addr.
func (m *Mesh) Send(ctx context.Context, addr string, w *berylwork.Work) *berylreply.Reply {
	var wrote atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteHeaders: func() { wrote.Store(true) },
	})
	r := (&http.Request{
		Method: w.Method, URL: &url.URL{Scheme: "http", Host: addr, Path: workPath},
		Host: w.Host, Header: m.encode(w), ContentLength: w.Length,
	}).WithContext(ctx)
	switch {
	case w.Stream != nil:
		r.Body = io.NopCloser(io.MultiReader(bytes.NewReader(w.Body), w.Stream))
	case len(w.Body) > 0:
		r.Body = io.NopCloser(bytes.NewReader(w.Body))
		r.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(w.Body)), nil }
	default:
		r.ContentLength = 0
	}
	resp, err := m.transport.RoundTrip(r)
	if err != nil {
		switch {
		case !wrote.Load():
			return berylreply.Fail(berylend.Unsent, berylreply.Dial)
		case ctx.Err() != nil:
			return berylreply.Fail(berylend.Unknown, berylreply.Canceled)
		}
		return berylreply.Fail(berylend.Unknown, berylreply.Broken)
	}
	return m.decode(ctx, resp)
}

const workPath = "/w"

// Header fields between instances. They are short because they are sent with
// every request; fields that repeat cost a byte each on a kept connection.
const (
	fieldURI    = "Bs-U"
	fieldRule   = "Bs-R" // rule, service, flags and rank
	fieldTarget = "Bs-T" // backend server and its lifetime
	fieldOwner  = "Bs-W" // workspace
	fieldCaller = "Bs-C"
	fieldTimes  = "Bs-D" // milliseconds until useless, and until no longer of full use
	fieldEnd    = "Bs-E" // end, reason, milliseconds to wait, and backend server
	fieldLoad   = "Bs-L" // busy, limit, milliseconds of one request, and what fits, in per mille
)

func (m *Mesh) encode(w *berylwork.Work) http.Header {
	now := time.Now()
	h := w.Header.Clone()
	h[fieldURI] = []string{w.URI}
	flags := "-"
	if w.Repeatable {
		flags = "r"
	}
	if w.Call {
		flags += "c"
	}
	h[fieldRule] = []string{w.Rule + " " + w.Service + " " + flags + " " + strconv.Itoa(w.Rank)}
	h[fieldTarget] = []string{w.Instance + " " + strconv.FormatInt(w.Born, 10)}
	h[fieldOwner] = []string{w.Workspace}
	h[fieldCaller] = []string{w.Caller}
	h[fieldTimes] = []string{strconv.FormatInt(w.Until.Sub(now).Milliseconds(), 10) + " " + strconv.FormatInt(w.Aim.Sub(now).Milliseconds(), 10)}
	delete(h, m.names.Left)
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = nil
	}
	return h
}

func millis(s string) time.Duration {
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		return 0
	}
	return time.Duration(n) * time.Millisecond
}

// take removes a field and returns its words.
func take(h http.Header, name string, n int) []string {
	words := strings.Split(h.Get(name), " ")
	delete(h, name)
	for len(words) < n {
		words = append(words, "")
	}
	return words
}

func (m *Mesh) decode(ctx context.Context, resp *http.Response) *berylreply.Reply {
	h := resp.Header
	end := h.Get(fieldEnd)
	load := take(h, fieldLoad, 4)
	out := &berylreply.Reply{End: berylend.Answered, Status: resp.StatusCode, Header: h, Length: resp.ContentLength, Open: 1}
	if end != "" {
		words := take(h, fieldEnd, 4)
		_ = resp.Body.Close() // Holds nothing.
		out = berylreply.Fail(berylend.Parse(words[0]), words[1])
		out.After, out.Actual = millis(words[2]), words[3]
	}
	out.Busy, _ = strconv.Atoi(load[0]) // Written by this package; a wrong word counts as 0.
	out.Limit, _ = strconv.Atoi(load[1])
	out.Hold = millis(load[2])
	if open, err := strconv.Atoi(load[3]); err == nil {
		out.Told, out.Open = true, float64(open)/1000
	}
	if end != "" {
		return out
	}
	head, err := io.ReadAll(io.LimitReader(resp.Body, wholeAnswer))
	if err != nil {
		_ = resp.Body.Close() // Broken already.
		reason := berylreply.Broken
		if ctx.Err() != nil {
			reason = berylreply.Canceled
		}
		return berylreply.Fail(berylend.Unknown, reason)
	}
	out.Body = head
	if len(head) < wholeAnswer || int64(len(head)) == resp.ContentLength {
		_ = resp.Body.Close() // Was read to its end.
		return out
	}
	out.Stream = resp.Body
	return out
}

// Get fetches a path from the instance at addr.
func (m *Mesh) Get(ctx context.Context, addr, path string) ([]byte, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+path, nil)
	if err != nil {
		return nil, err
	}
	resp, err := m.transport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }() // Only read from.
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s answered %s", addr, resp.Status)
	}
	return io.ReadAll(resp.Body)
}
