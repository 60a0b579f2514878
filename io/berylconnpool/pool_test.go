package berylconnpool

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"berylspan/core/berylattempt"
	"berylspan/core/berylheadernames"
	"berylspan/io/berylreply"

	"github.com/stretchr/testify/require"
)

// startServer starts a server and returns a pool for it and the number of connections
// accepted. It answers the nth request of a connection with what answer returns, and
// closes the connection if keepOpen is false.
func startServer(t *testing.T, answer func(r *http.Request, n int) (raw string, keepOpen bool)) (*Pool, *atomic.Int32) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	conns := &atomic.Int32{}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			conns.Add(1)
			go func() {
				defer func() { _ = c.Close() }()
				br := bufio.NewReader(c)
				for n := 0; ; n++ {
					r, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					raw, keepOpen := answer(r, n)
					_, _ = io.WriteString(c, raw)
					if !keepOpen {
						return
					}
				}
			}()
		}
	}()
	p := New(ln.Addr().String(), berylheadernames.Default())
	t.Cleanup(p.Close)
	return p, conns
}

func okAnswer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nBeryl-Call: %s\r\nBeryl-Receipt: x\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func send(p *Pool, id string, nonIdempotent bool) *berylreply.Reply {
	h := http.Header{"Beryl-Call": {id}}
	return p.Send(context.Background(), &Request{Method: "GET", URI: "/a?b", Host: "h", ID: id, Header: h, NonIdempotent: nonIdempotent}, func() {})
}

func TestOutcomeOfAnswers(t *testing.T) {
	for _, tc := range []struct {
		name    string
		raw     string
		outcome berylattempt.Outcome
		status  int
		reason  string
	}{
		{"complete answer", okAnswer("1", "body"), berylattempt.Answered, 200, ""},
		{"server error", "HTTP/1.1 500 X\r\nBeryl-Call: 1\r\nBeryl-Receipt: x\r\nContent-Length: 0\r\n\r\n", berylattempt.Answered, 500, ""},
		{"rejection", "HTTP/1.1 503 X\r\nBeryl-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", berylattempt.Rejected, 503, berylreply.ReasonRejected},
		{"wrong server", "HTTP/1.1 421 X\r\nBeryl-Actual: i-2\r\nContent-Length: 0\r\n\r\n", berylattempt.Rejected, 421, berylreply.ReasonWrongServer},
		{"503 that does not say that it did not run", errorAnswer(503, "1", ""), berylattempt.Unknown, 0, berylreply.ReasonMalformed},
		{"429 that does not say that it did not run", errorAnswer(429, "1", ""), berylattempt.Unknown, 0, berylreply.ReasonMalformed},
		{"408 that does not say that it did not run", errorAnswer(408, "1", ""), berylattempt.Unknown, 0, berylreply.ReasonMalformed},
		{"408 without id on a new connection", errorAnswer(408, "", ""), berylattempt.Unknown, 0, berylreply.ReasonMalformed},
		{"503 in chunks that does not say that it did not run", "HTTP/1.1 503 X\r\nBeryl-Call: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", berylattempt.Unknown, 0, berylreply.ReasonMalformed},
		{"503 with a receipt", errorAnswer(503, "1", receipt), berylattempt.Answered, 503, ""},
		{"429 with a receipt", errorAnswer(429, "1", receipt), berylattempt.Answered, 429, ""},
		{"408 with a receipt", errorAnswer(408, "1", receipt), berylattempt.Answered, 408, ""},
		{"500 without a receipt", errorAnswer(500, "1", ""), berylattempt.Answered, 500, ""},
		{"504 without a receipt", errorAnswer(504, "1", ""), berylattempt.Answered, 504, ""},
		{"404 without a receipt", errorAnswer(404, "1", ""), berylattempt.Answered, 404, ""},
		{"400 rejection without id on a new connection", errorAnswer(400, "", notRun), berylattempt.Rejected, 400, berylreply.ReasonRejected},
		{"408 rejection", errorAnswer(408, "1", notRun), berylattempt.Rejected, 408, berylreply.ReasonRejected},
		{"500 rejection", errorAnswer(500, "1", notRun), berylattempt.Rejected, 500, berylreply.ReasonRejected},
		{"421 without the id of the server", errorAnswer(421, "1", ""), berylattempt.Rejected, 421, berylreply.ReasonWrongServer},
		{"421 without id", errorAnswer(421, "", ""), berylattempt.Rejected, 421, berylreply.ReasonWrongServer},
		{"rejection whose body breaks off", "HTTP/1.1 503 X\r\nBeryl-Call: 1\r\n" + notRun + "Content-Length: 9\r\n\r\npart", berylattempt.Rejected, 503, berylreply.ReasonRejected},
		{"rejection whose head breaks off", "HTTP/1.1 503 X\r\nBeryl-Call: 1\r\n" + notRun, berylattempt.Unknown, 0, berylreply.ReasonConnectionBroken},
		{"success that says that it did not run", "HTTP/1.1 200 OK\r\nBeryl-Call: 1\r\n" + notRun + receipt + "Content-Length: 4\r\n\r\nbody", berylattempt.Unknown, 0, berylreply.ReasonMalformed},
		{"redirect that says that it did not run", "HTTP/1.1 302 X\r\nBeryl-Call: 1\r\n" + notRun + "Content-Length: 4\r\n\r\nbody", berylattempt.Unknown, 0, berylreply.ReasonMalformed},
		{"no receipt", "HTTP/1.1 200 OK\r\nBeryl-Call: 1\r\nContent-Length: 0\r\n\r\n", berylattempt.Unknown, 0, berylreply.ReasonMalformed},
		{"truncated body", "HTTP/1.1 200 OK\r\nBeryl-Call: 1\r\nBeryl-Receipt: x\r\nContent-Length: 9\r\n\r\npart", berylattempt.Unknown, 0, berylreply.ReasonMalformed},
		{"no answer", "", berylattempt.Unknown, 0, berylreply.ReasonConnectionBroken},
		{"not HTTP", "garbage\r\n\r\n", berylattempt.Unknown, 0, berylreply.ReasonMalformed},
		{"body that ends with the connection", "HTTP/1.1 200 OK\r\nBeryl-Call: 1\r\nBeryl-Receipt: x\r\n\r\nbody", berylattempt.Answered, 200, ""},
		{"answer to another request first", okAnswer("0", "late") + okAnswer("1", "body"), berylattempt.Answered, 200, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p, _ := startServer(t, func(*http.Request, int) (string, bool) { return tc.raw, false })
			reply := send(p, "1", false)
			require.Equal(t, tc.outcome, reply.Outcome)
			require.Equal(t, tc.status, reply.Status)
			require.Equal(t, tc.reason, reply.Reason)
			if tc.status == 200 {
				require.Equal(t, "body", string(reply.Body))
			}
		})
	}
}

func TestConnectionsAreReusedUnlessUnreadBytesRemain(t *testing.T) {
	p, conns := startServer(t, func(r *http.Request, _ int) (string, bool) {
		id := r.Header.Get("Beryl-Call")
		if id == "3" {
			return okAnswer(id, "") + okAnswer("9", "nobody's"), true
		}
		return okAnswer(id, ""), true
	})
	for _, id := range []string{"1", "2", "3"} {
		require.Equal(t, berylattempt.Answered, send(p, id, false).Outcome)
	}
	require.EqualValues(t, 1, conns.Load())
	time.Sleep(20 * time.Millisecond)
	require.Equal(t, berylattempt.Answered, send(p, "4", false).Outcome)
	require.EqualValues(t, 2, conns.Load())
}

func TestClosedIdleConnectionIsNotReused(t *testing.T) {
	p, _ := startServer(t, func(r *http.Request, n int) (string, bool) { return okAnswer(r.Header.Get("Beryl-Call"), ""), n < 1 })
	require.Equal(t, berylattempt.Answered, send(p, "1", true).Outcome)
	require.Equal(t, berylattempt.Answered, send(p, "2", true).Outcome)
	time.Sleep(20 * time.Millisecond)
	require.Equal(t, berylattempt.Answered, send(p, "3", true).Outcome)
}

func TestCancelClosesConnection(t *testing.T) {
	closed := make(chan struct{})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		c, err := ln.Accept()
		if err == nil {
			_, _ = io.Copy(io.Discard, c)
			close(closed)
		}
	}()
	p := New(ln.Addr().String(), berylheadernames.Default())
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	doneCalled := false
	reply := p.Send(ctx, &Request{Method: "GET", URI: "/", Host: "h", ID: "1", Header: http.Header{}}, func() { doneCalled = true })
	require.Equal(t, berylattempt.Unknown, reply.Outcome)
	require.Equal(t, berylreply.ReasonCanceled, reply.Reason)
	require.True(t, doneCalled)
	select {
	case <-closed:
	case <-time.After(time.Second):
		t.Fatal("the connection was not closed within 1 s after the cancellation")
	}
}

func TestFailedDialIsReportedAsUnsent(t *testing.T) {
	p := New("127.0.0.1:1", berylheadernames.Default())
	require.Equal(t, berylattempt.Unsent, send(p, "1", true).Outcome)
}
