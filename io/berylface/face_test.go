package berylface

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func limits() Limits {
	return Limits{Header: 4 << 10, Body: 1 << 20, HeadTime: 300 * time.Millisecond, IdleTime: time.Minute}
}

func serve(t *testing.T, handle func(context.Context, *Request) *Answer) (*Face, func() net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	f := New(ln, handle, func(r *Request) bool { return r.Method == http.MethodPost }, limits)
	done := make(chan struct{})
	go func() { f.Run(context.Background()); close(done) }()
	t.Cleanup(func() { f.Close(); <-done })
	return f, func() net.Conn {
		c, err := net.Dial("tcp", ln.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
}

func text(s string) *Answer {
	return &Answer{Status: 200, Header: http.Header{}, Body: []byte(s)}
}

func answers(t *testing.T, c net.Conn, n int) []string {
	t.Helper()
	require.NoError(t, c.SetReadDeadline(time.Now().Add(5*time.Second)))
	br := bufio.NewReader(c)
	var out []string
	for range n {
		resp, err := http.ReadResponse(br, nil)
		require.NoError(t, err)
		body, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		out = append(out, fmt.Sprintf("%d %s", resp.StatusCode, body))
	}
	return out
}

func TestRequestsSentAheadRunAtOnceAndAreAnsweredInOrder(t *testing.T) {
	var running, most atomic.Int32
	_, dial := serve(t, func(_ context.Context, r *Request) *Answer {
		most.Store(max(most.Load(), running.Add(1)))
		defer running.Add(-1)
		if r.Path == "/0" {
			time.Sleep(150 * time.Millisecond)
		} else {
			time.Sleep(50 * time.Millisecond)
		}
		return text(r.Path)
	})
	c := dial()
	for i := range 4 {
		_, err := fmt.Fprintf(c, "GET /%d HTTP/1.1\r\nHost: h\r\n\r\n", i)
		require.NoError(t, err)
	}
	require.Equal(t, []string{"200 /0", "200 /1", "200 /2", "200 /3"}, answers(t, c, 4))
	require.GreaterOrEqual(t, most.Load(), int32(3))
}

func TestARequestThatMustRunOnceWaitsForTheAnswersAheadOfIt(t *testing.T) {
	var ran atomic.Bool
	_, dial := serve(t, func(_ context.Context, r *Request) *Answer {
		if r.Method == http.MethodPost {
			ran.Store(true)
			return text("posted")
		}
		time.Sleep(50 * time.Millisecond)
		a := text("last")
		a.Close = true
		return a
	})
	c := dial()
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\nPOST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi")
	require.NoError(t, err)
	require.Equal(t, []string{"200 last"}, answers(t, c, 1))
	_, err = io.ReadAll(c)
	require.NoError(t, err)
	require.False(t, ran.Load(), "its connection had ended before it could run")
}

func TestLeavingCallerEndsTheRequest(t *testing.T) {
	leave(t, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
}

func TestLeavingCallerEndsItsLastRequest(t *testing.T) {
	leave(t, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
}

func leave(t *testing.T, request string) {
	t.Helper()
	ended := make(chan struct{})
	_, dial := serve(t, func(ctx context.Context, _ *Request) *Answer {
		select {
		case <-ctx.Done():
			close(ended)
		case <-time.After(5 * time.Second): // So that a failure does not hang.
		}
		return &Answer{Abort: true}
	})
	c := dial()
	_, err := io.WriteString(c, request)
	require.NoError(t, err)
	time.Sleep(50 * time.Millisecond)
	require.NoError(t, c.Close())
	select {
	case <-ended:
	case <-time.After(500 * time.Millisecond):
		t.Fatal("the request went on")
	}
}

func TestBadRequestsGetOneClearRefusal(t *testing.T) {
	_, dial := serve(t, func(context.Context, *Request) *Answer { return text("ok") })
	for _, c := range []struct{ name, send, want string }{
		{"no request at all", "\x16\x03\x01\r\n\r\n", "400 "},
		{"two lengths", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", "400 "},
		{"a head without end", "GET / HTTP/1.1\r\nX: " + strings.Repeat("a", 8<<10), "431 "},
		{"a head that does not come", "GET / HTTP/1.1\r\nHost:", "408 "},
		{"a body beyond the limit", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9999999\r\n\r\n", "413 "},
	} {
		t.Run(c.name, func(t *testing.T) {
			nc := dial()
			_, err := io.WriteString(nc, c.send)
			require.NoError(t, err)
			require.Equal(t, []string{c.want}, answers(t, nc, 1))
		})
	}
}

// broken ends with an error after its text.
type broken struct{ *strings.Reader }

func (b broken) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err != nil {
		return n, io.ErrUnexpectedEOF
	}
	return n, nil
}

func (b broken) Close() error { return nil }

func TestAnAnswerThatBreaksOffLooksBroken(t *testing.T) {
	for _, length := range []int64{-1, 100} {
		_, dial := serve(t, func(context.Context, *Request) *Answer {
			return &Answer{Status: 200, Header: http.Header{}, Stream: broken{strings.NewReader("part")}, Length: length}
		})
		c := dial()
		_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		require.NoError(t, err)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err)
		_, err = io.ReadAll(resp.Body)
		require.Error(t, err)
	}
}

func TestLongBodiesAreStreamedAndTheConnectionGoesOn(t *testing.T) {
	_, dial := serve(t, func(_ context.Context, r *Request) *Answer {
		n := len(r.Body)
		if r.Stream != nil {
			m, err := io.Copy(io.Discard, r.Stream)
			if err != nil {
				return &Answer{Abort: true}
			}
			n += int(m)
		}
		return text(fmt.Sprint(n))
	})
	c := dial()
	go func() {
		_, _ = fmt.Fprintf(c, "PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: 300000\r\n\r\n%s", strings.Repeat("b", 300000))
		_, _ = io.WriteString(c, "PUT / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n")
	}()
	require.Equal(t, []string{"200 300000", "200 3"}, answers(t, c, 2))
}

func TestLeaveEndsConnectionsWithTheirNextAnswer(t *testing.T) {
	f, dial := serve(t, func(context.Context, *Request) *Answer { return text("ok") })
	c := dial()
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	answers(t, c, 1)
	f.Leave()
	_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	answers(t, c, 1)
	_, err = c.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
}

func TestDrainAnswersWhatWasReadAndReadsNoMore(t *testing.T) {
	f, dial := serve(t, func(_ context.Context, r *Request) *Answer {
		time.Sleep(200 * time.Millisecond)
		return text(r.Path)
	})
	idle, busy := dial(), dial()
	_, err := io.WriteString(busy, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	time.Sleep(50 * time.Millisecond)
	done := make(chan struct{})
	go func() { f.Drain(5 * time.Second); close(done) }()
	time.Sleep(50 * time.Millisecond)
	_, err = io.WriteString(busy, "GET /3 HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	require.Equal(t, []string{"200 /1", "200 /2"}, answers(t, busy, 2))
	_, err = idle.Read(make([]byte, 1))
	require.Error(t, err)
	select {
	case <-done:
	case <-time.After(time.Second):
		t.Fatal("drain goes on without requests")
	}
}
