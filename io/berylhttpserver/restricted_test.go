package berylhttpserver

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// startRestrictedServer starts a server that serves paths which begin with /call while it stops
// and is needed. A path that contains slow takes 2 s, or until the request is cancelled. The
// test fails if a request is started and refused.
func startRestrictedServer(t *testing.T, needed *atomic.Bool) (*Server, *unansweredList, func() net.Conn) {
	t.Helper()
	var started sync.Map
	return startReportingServer(t, func(ctx context.Context, r *Request) *Answer {
		started.Store(r.Path, true)
		if strings.Contains(r.Path, "slow") {
			select {
			case <-ctx.Done():
				return &Answer{Status: http.StatusGatewayTimeout, Header: http.Header{}}
			case <-time.After(2 * time.Second):
			}
		}
		return textAnswer(r.Path)
	}, Refuse(func(r *Request) *Answer {
		_, ok := started.Load(r.Path)
		require.False(t, ok, "%s was started and refused", r.Path)
		return &Answer{Status: http.StatusServiceUnavailable, Header: http.Header{}, Body: []byte("refused " + r.Path)}
	}), ServeWhileStopping(needed.Load, func(r *Request) bool { return strings.HasPrefix(r.Path, "/call") }))
}

// Calls that a backend server made during a stop found the listener closed.
func TestCallSentDuringStopIsRefused(t *testing.T) {
	const (
		early = 100 * time.Millisecond // sooner than bodyTime
		late  = 500 * time.Millisecond // later
	)
	for _, c := range []struct {
		name, before string
		delay        time.Duration // of what is sent after the stop began
		send, rest   string
		want         []string
	}{
		{"call on a new connection: served", "", late, "GET /call HTTP/1.1\r\nHost: h\r\n\r\n", "", []string{"200 /call"}},
		{"call on a kept connection: served", "GET /0 HTTP/1.1\r\nHost: h\r\n\r\n", late, "GET /call HTTP/1.1\r\nHost: h\r\n\r\n", "", []string{"200 /0", "200 /call"}},
		{"call with a body: served", "", late, "PUT /call HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbo", "dy", []string{"200 /call"}},
		{"other on a new connection: refused", "", late, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n", "", []string{"503 refused /1"}},
		{"other on a kept connection: refused", "GET /0 HTTP/1.1\r\nHost: h\r\n\r\n", late, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n", "", []string{"200 /0", "503 refused /1"}},
		{"other behind a running one: refused in order", "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n", late, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n", "", []string{"200 /slow", "503 refused /1"}},
		{"other behind a call: refused in order", "", late, "GET /call/slow HTTP/1.1\r\nHost: h\r\n\r\nGET /1 HTTP/1.1\r\nHost: h\r\n\r\n", "", []string{"200 /call/slow", "503 refused /1"}},
		{"other whose body is not whole: refused", "", late, "PUT /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbo", "", []string{"503 refused /1"}},
		{"other that waits to be asked for its body: refused", "", late, "PUT /1 HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n", "", []string{"503 refused /1"}},
		{"call behind a refused one: not read", "", late, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /call HTTP/1.1\r\nHost: h\r\n\r\n", "", []string{"503 refused /1"}},
		{"other that began to arrive before: served", "GET /1 HTTP/1.1\r\nHost", early, ": h\r\n\r\n", "", []string{"200 /1"}},
		{"body that began to arrive before, late: refused", "PUT /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n", late, "body", "", []string{"503 refused /1"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var needed atomic.Bool
			needed.Store(true)
			s, reported, dial := startRestrictedServer(t, &needed)
			var nc net.Conn
			if c.before != "" {
				nc = dial()
				_, err := io.WriteString(nc, c.before)
				require.NoError(t, err)
				time.Sleep(50 * time.Millisecond) // for what can be read of it
			}
			drained := make(chan struct{})
			go func() { s.Drain(10*time.Second, answerTime); close(drained) }()
			time.Sleep(c.delay)
			if nc == nil {
				nc = dial()
			}
			_, err := io.WriteString(nc, c.send)
			require.NoError(t, err)
			time.AfterFunc(50*time.Millisecond, func() { _, _ = io.WriteString(nc, c.rest) }) // The request may be refused.
			require.Equal(t, c.want, readAnswers(t, nc, len(c.want)))
			_, err = nc.Read(make([]byte, 1))
			require.ErrorIs(t, err, io.EOF)
			needed.Store(false)
			select {
			case <-drained:
			case <-time.After(2 * time.Second):
				t.Fatal("the stop goes on 2 s after the server was needed")
			}
			require.Empty(t, reported.all())
		})
	}
}

func TestStopGoesOnWhenServerIsNoLongerNeeded(t *testing.T) {
	for _, c := range []struct {
		name, send string
		want       []string
	}{
		{"idle connection: closed", "", nil},
		{"call is running: answered", "GET /call/slow HTTP/1.1\r\nHost: h\r\n\r\n", []string{"200 /call/slow"}},
		{"body of a call is arriving: refused", "PUT /call HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbo", []string{"503 refused /call"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var needed atomic.Bool
			needed.Store(true)
			s, reported, dial := startRestrictedServer(t, &needed)
			drained := make(chan struct{})
			go func() { s.Drain(10*time.Second, answerTime); close(drained) }()
			time.Sleep(50 * time.Millisecond)
			nc := dial()
			_, err := io.WriteString(nc, c.send)
			require.NoError(t, err)
			time.Sleep(500 * time.Millisecond) // until bodies must be whole
			needed.Store(false)
			require.Equal(t, c.want, readAnswers(t, nc, len(c.want)))
			_, err = nc.Read(make([]byte, 1))
			require.ErrorIs(t, err, io.EOF)
			select {
			case <-drained:
			case <-time.After(2 * time.Second):
				t.Fatal("the stop goes on 2 s after the server was needed")
			}
			_, err = net.Dial("tcp", nc.RemoteAddr().String())
			require.Error(t, err, "the listener is open after the stop")
			require.Empty(t, reported.all())
		})
	}
}

func TestStopEndsInTimeWhileServerIsNeeded(t *testing.T) {
	var needed atomic.Bool
	needed.Store(true)
	s, reported, dial := startRestrictedServer(t, &needed)
	idle := dial()
	go drainAndClose(s, 200*time.Millisecond)
	time.Sleep(50 * time.Millisecond)
	nc := dial()
	_, err := io.WriteString(nc, "GET /call/slow HTTP/1.1\r\nHost: h\r\n\r\nPOST /call/2 HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n")
	require.NoError(t, err)
	require.Equal(t, []string{"504 ", "503 refused /call/2"}, readAnswers(t, nc, 2))
	for _, c := range []net.Conn{nc, idle} {
		_, err = c.Read(make([]byte, 1))
		require.ErrorIs(t, err, io.EOF)
	}
	require.Empty(t, reported.all())
}
