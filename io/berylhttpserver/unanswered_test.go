package berylhttpserver

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// unansweredList collects what OnUnanswered reports.
type unansweredList struct {
	mu   sync.Mutex
	list []string
}

func (l *unansweredList) add(u Unanswered) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, fmt.Sprintf("%s %s%s: %s", u.ID, u.Host, u.Path, u.Wait))
}

func (l *unansweredList) all() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.list
}

func startReportingServer(t *testing.T, handle func(context.Context, *Request) *Answer, opts ...func(*Server)) (*Server, *unansweredList, func() net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l := &unansweredList{}
	s := New(ln, handle, func(r *Request) bool { return r.Method == http.MethodPost }, testLimits,
		append(opts, OnUnanswered(func(h http.Header) string { return h.Get("Id") }, l.add))...)
	done := make(chan struct{})
	go func() { s.Run(context.Background()); close(done) }()
	t.Cleanup(func() { s.Close(); <-done })
	return s, l, func() net.Conn {
		c, err := net.Dial("tcp", ln.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
}

func TestCloseReportsWhatEachUnansweredRequestWaitsFor(t *testing.T) {
	s, reported, dial := startReportingServer(t, func(ctx context.Context, r *Request) *Answer {
		if r.Path == "/slow" {
			<-ctx.Done()
			return &Answer{Abort: true}
		}
		return textAnswer("ready")
	})
	c := dial()
	for i, line := range []string{"GET /slow", "GET /ready", "POST /turn", "PUT /body"} {
		body := "Content-Length: 0\r\n\r\n"
		if line == "PUT /body" {
			body = "Content-Length: 10\r\n\r\npart"
		}
		_, err := fmt.Fprintf(c, "%s HTTP/1.1\r\nHost: h\r\nId: %d\r\n%s", line, i, body)
		require.NoError(t, err)
	}
	require.Eventually(t, func() bool { return s.Busy() == 4 }, time.Second, time.Millisecond)
	time.Sleep(20 * time.Millisecond)
	s.Close()
	require.ElementsMatch(t, []string{"0 h/slow: handler", "1 h/ready: earlier answer", "2 h/turn: turn", "3 h/body: body"}, reported.all())
}

func TestAnsweredRequestsAreNotReported(t *testing.T) {
	s, reported, dial := startReportingServer(t, func(context.Context, *Request) *Answer { return textAnswer("ok") })
	c := dial()
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	readAnswers(t, c, 1)
	s.Drain(time.Second, 0)
	s.Close()
	require.Empty(t, reported.all())
}
