package berylhttpserver

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

func testLimits() Limits {
	return Limits{MaxHeaderBytes: 4 << 10, MaxBodyBytes: 1 << 20, HeaderTimeout: 300 * time.Millisecond, IdleTimeout: time.Minute}
}

func startServer(t *testing.T, handle func(context.Context, *Request) *Answer) (*Server, func() net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := New(ln, handle, func(r *Request) bool { return r.Method == http.MethodPost }, testLimits)
	return s, runServer(t, s, ln)
}

// runServer runs s on ln until the test ends and returns a function that connects to it.
func runServer(t *testing.T, s *Server, ln net.Listener) (dial func() net.Conn) {
	t.Helper()
	done := make(chan struct{})
	go func() { s.Run(context.Background()); close(done) }()
	t.Cleanup(func() { s.Close(); <-done })
	return func() net.Conn {
		c, err := net.Dial("tcp", ln.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
}

func textAnswer(body string) *Answer {
	return &Answer{Status: 200, Header: http.Header{}, Body: []byte(body)}
}

func readAnswers(t *testing.T, c net.Conn, n int) []string {
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

func TestPipelinedRequestsRunConcurrentlyAndAreAnsweredInOrder(t *testing.T) {
	var running, maxRunning atomic.Int32
	_, dial := startServer(t, func(_ context.Context, r *Request) *Answer {
		maxRunning.Store(max(maxRunning.Load(), running.Add(1)))
		defer running.Add(-1)
		if r.Path == "/0" {
			time.Sleep(150 * time.Millisecond)
		} else {
			time.Sleep(50 * time.Millisecond)
		}
		return textAnswer(r.Path)
	})
	c := dial()
	for i := range 4 {
		_, err := fmt.Fprintf(c, "GET /%d HTTP/1.1\r\nHost: h\r\n\r\n", i)
		require.NoError(t, err)
	}
	require.Equal(t, []string{"200 /0", "200 /1", "200 /2", "200 /3"}, readAnswers(t, c, 4))
	require.GreaterOrEqual(t, maxRunning.Load(), int32(3))
}

func TestInOrderRequestWaitsForEarlierAnswers(t *testing.T) {
	var ran atomic.Bool
	_, dial := startServer(t, func(_ context.Context, r *Request) *Answer {
		if r.Method == http.MethodPost {
			ran.Store(true)
			return textAnswer("posted")
		}
		time.Sleep(50 * time.Millisecond)
		a := textAnswer("last")
		a.Close = true
		return a
	})
	c := dial()
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\nPOST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi")
	require.NoError(t, err)
	require.Equal(t, []string{"200 last"}, readAnswers(t, c, 1))
	_, err = io.ReadAll(c)
	require.NoError(t, err)
	require.False(t, ran.Load(), "the request ran although its connection had ended")
}

func TestDisconnectCancelsRequest(t *testing.T) {
	requireCanceledOnDisconnect(t, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
}

func TestDisconnectCancelsRequestWithConnectionClose(t *testing.T) {
	requireCanceledOnDisconnect(t, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
}

func requireCanceledOnDisconnect(t *testing.T, request string) {
	t.Helper()
	canceled := make(chan struct{})
	_, dial := startServer(t, func(ctx context.Context, _ *Request) *Answer {
		select {
		case <-ctx.Done():
			close(canceled)
		case <-time.After(5 * time.Second): // Lets the test fail instead of hanging.
		}
		return &Answer{Abort: true}
	})
	c := dial()
	_, err := io.WriteString(c, request)
	require.NoError(t, err)
	time.Sleep(50 * time.Millisecond)
	require.NoError(t, c.Close())
	select {
	case <-canceled:
	case <-time.After(500 * time.Millisecond):
		t.Fatal("the request was not cancelled within 500 ms after the caller disconnected")
	}
}

func TestInvalidRequestsAreRefused(t *testing.T) {
	_, dial := startServer(t, func(context.Context, *Request) *Answer { return textAnswer("ok") })
	for _, c := range []struct{ name, send, want string }{
		{"not HTTP", "\x16\x03\x01\r\n\r\n", "400 "},
		{"two Content-Length fields", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", "400 "},
		{"header too long", "GET / HTTP/1.1\r\nX: " + strings.Repeat("a", 8<<10), "431 "},
		{"header timeout", "GET / HTTP/1.1\r\nHost:", "408 "},
		{"body too long", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9999999\r\n\r\n", "413 "},
	} {
		t.Run(c.name, func(t *testing.T) {
			nc := dial()
			_, err := io.WriteString(nc, c.send)
			require.NoError(t, err)
			require.Equal(t, []string{c.want}, readAnswers(t, nc, 1))
		})
	}
}

// truncatedBody returns io.ErrUnexpectedEOF at the end of its text.
type truncatedBody struct{ *strings.Reader }

func (b truncatedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err != nil {
		return n, io.ErrUnexpectedEOF
	}
	return n, nil
}

func (b truncatedBody) Close() error { return nil }

func TestTruncatedAnswerCausesReadError(t *testing.T) {
	for _, length := range []int64{-1, 100} {
		_, dial := startServer(t, func(context.Context, *Request) *Answer {
			return &Answer{Status: 200, Header: http.Header{}, Stream: truncatedBody{strings.NewReader("part")}, Length: length}
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

func TestLongBodiesAreStreamedAndConnectionIsReused(t *testing.T) {
	_, dial := startServer(t, func(_ context.Context, r *Request) *Answer {
		n := len(r.Body)
		if r.Stream != nil {
			m, err := io.Copy(io.Discard, r.Stream)
			if err != nil {
				return &Answer{Abort: true}
			}
			n += int(m)
		}
		return textAnswer(fmt.Sprint(n))
	})
	c := dial()
	go func() {
		_, _ = fmt.Fprintf(c, "PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: 300000\r\n\r\n%s", strings.Repeat("b", 300000))
		_, _ = io.WriteString(c, "PUT / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n")
	}()
	require.Equal(t, []string{"200 300000", "200 3"}, readAnswers(t, c, 2))
}

func TestDisableKeepAlivesClosesConnectionAfterNextAnswer(t *testing.T) {
	s, dial := startServer(t, func(context.Context, *Request) *Answer { return textAnswer("ok") })
	c := dial()
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	readAnswers(t, c, 1)
	s.DisableKeepAlives()
	_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	readAnswers(t, c, 1)
	_, err = c.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
}

func TestDrainAnswersPendingRequestsAndReadsNoMore(t *testing.T) {
	s, dial := startServer(t, func(_ context.Context, r *Request) *Answer {
		time.Sleep(200 * time.Millisecond)
		return textAnswer(r.Path)
	})
	idle, busy := dial(), dial()
	_, err := io.WriteString(busy, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	time.Sleep(50 * time.Millisecond)
	done := make(chan struct{})
	go func() { s.Drain(5*time.Second, 0); close(done) }()
	time.Sleep(50 * time.Millisecond)
	_, err = io.WriteString(busy, "GET /3 HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	require.Equal(t, []string{"200 /1", "200 /2"}, readAnswers(t, busy, 2))
	_, err = idle.Read(make([]byte, 1))
	require.Error(t, err)
	select {
	case <-done:
	case <-time.After(time.Second):
		t.Fatal("Drain did not return within 1 s after the last answer")
	}
}

// brokenStream fails before its first byte.
type brokenStream struct{ closed chan struct{} }

func (brokenStream) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }
func (s brokenStream) Close() error           { close(s.closed); return nil }

// The source of an answer failed while that waited for its turn. Its head was written all the
// same, and the end of the connection took the answers behind it along.
func TestAnswerWhoseSourceFailedCutsAnswersBehindIt(t *testing.T) {
	closed := make(chan struct{})
	_, dial := startServer(t, func(_ context.Context, r *Request) *Answer {
		switch r.Path {
		case "/slow":
			time.Sleep(100 * time.Millisecond)
		case "/broken":
			return &Answer{Status: 200, Header: http.Header{}, Length: 1000, Stream: brokenStream{closed}}
		}
		return textAnswer(r.Path)
	})
	c := dial()
	_, err := io.WriteString(c, "GET /slow HTTP/1.1\r\nHost: h\r\n\r\nGET /broken HTTP/1.1\r\nHost: h\r\n\r\nGET /ready HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	require.Equal(t, []string{"200 /slow", "502 ", "200 /ready"}, readAnswers(t, c, 3))
	<-closed
}
