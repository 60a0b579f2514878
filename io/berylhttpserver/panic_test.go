package berylhttpserver

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"berylspan/io/berylpanic"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// panicReader panics when it is read.
type panicReader struct{}

func (panicReader) Read([]byte) (int, error) { panic("read") }
func (panicReader) Close() error             { return nil }

// A panic while one request was served ended the process with all that it served.
func TestPanicEndsOnlyItsOwnConnection(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var panics atomic.Int32
	guard := berylpanic.New(zerolog.Nop(), berylpanic.OnPanic(func(string) { panics.Add(1) }))
	release := make(chan struct{})
	s := New(ln, func(_ context.Context, r *Request) *Answer {
		switch r.Path {
		case "/handler":
			panic("handler")
		case "/stream":
			return &Answer{Status: 200, Header: http.Header{}, Stream: panicReader{}, Length: -1}
		case "/slow":
			<-release
		}
		return textAnswer(r.Path)
	}, func(r *Request) bool {
		if r.Path == "/order" {
			panic("order")
		}
		return false
	}, func() Limits {
		return testLimits()
	}, Guard(guard.Run))
	done := make(chan struct{})
	go func() { s.Run(context.Background()); close(done) }()
	t.Cleanup(func() { s.Close(); <-done })
	releaseOnce := sync.OnceFunc(func() { close(release) })
	t.Cleanup(releaseOnce)
	dial := func() net.Conn {
		c, err := net.Dial("tcp", ln.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
	slow := dial()
	_, err = io.WriteString(slow, "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	for i, path := range []string{"/handler", "/stream", "/order"} {
		c := dial()
		_, err := io.WriteString(c, "GET /first HTTP/1.1\r\nHost: h\r\n\r\n")
		require.NoError(t, err)
		require.Equal(t, []string{"200 /first"}, readAnswers(t, c, 1), path)
		_, err = io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\nGET /third HTTP/1.1\r\nHost: h\r\n\r\n")
		require.NoError(t, err)
		require.NoError(t, c.SetReadDeadline(time.Now().Add(2*time.Second)))
		rest, err := io.ReadAll(c)
		require.NotErrorIs(t, err, context.DeadlineExceeded, path)
		require.NotContains(t, string(rest), "/third", "%s: an answer came after a request without one", path)
		require.EqualValues(t, i+1, panics.Load(), path)
	}
	releaseOnce()
	require.Equal(t, []string{"200 /slow"}, readAnswers(t, slow, 1))
	require.Eventually(t, func() bool { return s.Busy() == 0 }, time.Second, time.Millisecond)
}

// The caller took the answer to the third request for that to the second.
func TestNextAnswerIsWrittenInPlaceOfOneThatPanicked(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	guard := berylpanic.New(zerolog.Nop(), berylpanic.OnPanic(func(string) {
		time.Sleep(100 * time.Millisecond) // enough for the next answer, if it isn't held back
	}))
	s := New(ln, func(_ context.Context, r *Request) *Answer {
		if r.Path == "/second" {
			return &Answer{Status: 200, Header: http.Header{}, Stream: panicReader{}, Length: -1}
		}
		return textAnswer(r.Path)
	}, func(*Request) bool { return false }, testLimits, Guard(guard.Run))
	done := make(chan struct{})
	go func() { s.Run(context.Background()); close(done) }()
	t.Cleanup(func() { s.Close(); <-done })
	c, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	_, err = io.WriteString(c, "GET /first HTTP/1.1\r\nHost: h\r\n\r\nGET /second HTTP/1.1\r\nHost: h\r\n\r\nGET /third HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	require.NoError(t, c.SetReadDeadline(time.Now().Add(2*time.Second)))
	all, err := io.ReadAll(c)
	require.NotErrorIs(t, err, os.ErrDeadlineExceeded)
	require.Contains(t, string(all), "/first")
	require.NotContains(t, string(all), "/third")
}
