package berylconnpool

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"berylspan/core/berylattempt"
	"berylspan/core/berylheadernames"

	"github.com/stretchr/testify/require"
)

// startCuttingServer starts a server that answers the only request of each connection with the
// first bytes of an answer, as many as cut tells, and then closes or resets the connection.
func startCuttingServer(t *testing.T, answer string, cut func() (n int, reset bool)) *Pool {
	t.Helper()
	return startRawServer(t, func(c net.Conn) {
		if _, err := c.Read(make([]byte, 4<<10)); err != nil {
			return
		}
		n, reset := cut()
		_, _ = io.WriteString(c, answer[:n]) // The test notices if it is missing.
		if tc, ok := c.(*net.TCPConn); ok && reset {
			_ = tc.SetLinger(0) // Close sends a reset.
		}
	})
}

// A server stops anywhere in its answer and closes the connection. What has arrived must not be
// taken for a complete answer.
func TestCutAnswerIsNeverComplete(t *testing.T) {
	const length = "Content-Length: 12\r\n"
	chunks := "6\r\nhello \r\n" + "6;ext=1\r\nworld!\r\n" + "0\r\n\r\n"
	for _, tc := range []struct {
		name, method, answer string
		endsWithConn         bool // the body has no length and ends with the connection
	}{
		{"with a length", http.MethodGet, okHead + length + "\r\nhello world!", false},
		{"length is the first field", http.MethodGet, "HTTP/1.1 200 OK\r\n" + length + "Beryl-Call: 1\r\nBeryl-Receipt: x\r\n\r\nhello world!", false},
		{"head with bare line feeds", http.MethodGet, strings.ReplaceAll(okHead+length+"\r\n", "\r\n", "\n") + "hello world!", false},
		{"in chunks", http.MethodGet, chunkedHead + chunks, false},
		{"in chunks with a trailer", http.MethodGet, chunkedHead + "c\r\nhello world!\r\n0\r\nX-Sum: 1\r\n\r\n", false},
		{"after an interim answer", http.MethodGet, "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + okHead + length + "\r\nhello world!", false},
		{"after an answer to another request", http.MethodGet, okAnswer("0", "other") + okHead + length + "\r\nhello world!", false},
		{"to HEAD", http.MethodHead, okHead + length + "\r\n", false},
		{"no content", http.MethodGet, strings.Replace(okHead, "200 OK", "204 No Content", 1) + "\r\n", false},
		{"not modified", http.MethodGet, strings.Replace(okHead, "200 OK", "304 Not Modified", 1) + "\r\n", false},
		{"empty", http.MethodGet, okHead + "Content-Length: 0\r\n\r\n", false},
		{"error", http.MethodGet, "HTTP/1.1 500 X\r\nBeryl-Call: 1\r\n" + length + "\r\nhello world!", false},
		{"without a length", http.MethodGet, okHead + "\r\nhello world!", true},
		{"without a length, connection: close", http.MethodGet, okHead + "Connection: close\r\n\r\nhello world!", true},
		{"HTTP/1.0", http.MethodGet, strings.Replace(okHead, "HTTP/1.1", "HTTP/1.0", 1) + "\r\nhello world!", true},
	} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/reset %v", tc.name, reset), func(t *testing.T) {
				var sent atomic.Int64 // bytes that the server sends
				p := startCuttingServer(t, tc.answer, func() (int, bool) { return int(sent.Load()), reset })
				headEnd := strings.LastIndex(tc.answer, "\r\n\r\n") + len("\r\n\r\n")
				for n := range len(tc.answer) {
					sent.Store(int64(n))
					done := 0
					reply := p.Send(context.Background(), &Request{Method: tc.method, URI: "/", Host: "h", ID: "1", Header: http.Header{}}, func() { done++ })
					require.Equal(t, 1, done)
					if tc.endsWithConn && !reset && n >= headEnd {
						continue // Nothing tells a cut body from a complete one.
					}
					require.Equal(t, berylattempt.Unknown, reply.Outcome, "%q", tc.answer[:n])
				}
				if reset {
					return // A reset may overtake the end of the answer.
				}
				sent.Store(int64(len(tc.answer)))
				reply := p.Send(context.Background(), &Request{Method: tc.method, URI: "/", Host: "h", ID: "1", Header: http.Header{}}, func() {})
				require.Equal(t, berylattempt.Answered, reply.Outcome, "the whole answer")
			})
		}
	}
}

// The end of a long answer is read while it is passed on.
func TestCutLongAnswerFailsOnRead(t *testing.T) {
	long := strings.Repeat("x", 3*maxBufferedAnswer)
	for _, tc := range []struct {
		name, answer string
		n            int // bytes sent
		reset        bool
	}{
		{"with a length", fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", okHead, len(long), long), 2 * maxBufferedAnswer, false},
		{"with a length, last byte", fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", okHead, len(long)+1, long), -1, false},
		{"in chunks", fmt.Sprintf("%s%x\r\n%s\r\n0\r\n\r\n", chunkedHead, len(long), long), 2 * maxBufferedAnswer, false},
		{"in chunks, after the last chunk", fmt.Sprintf("%s%x\r\n%s\r\n", chunkedHead, len(long), long), -1, false},
		{"in chunks, before the last line", fmt.Sprintf("%s%x\r\n%s\r\n0\r\n", chunkedHead, len(long), long), -1, false},
		{"without a length, reset", okHead + "\r\n" + long, 2 * maxBufferedAnswer, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			n := tc.n
			if n < 0 {
				n = len(tc.answer)
			}
			p := startCuttingServer(t, tc.answer, func() (int, bool) { return n, tc.reset })
			reply := send(p, "1", false)
			if reply.Outcome != berylattempt.Answered {
				require.True(t, tc.reset, "a reset may overtake the answer")
				return
			}
			_, err := io.Copy(io.Discard, reply.Reader())
			require.Error(t, err)
			reply.Close()
		})
	}
}

// Whatever fields come first, an answer with a length is complete only with its last byte.
func FuzzCutAnswer(f *testing.F) {
	f.Add([]byte("X-A: b\r\nX-C:"), uint8(3))
	f.Add([]byte("Transfer-Encoding: chunked"), uint8(200))
	f.Fuzz(func(t *testing.T, fields []byte, cut uint8) {
		if lower := strings.ToLower(string(fields)); strings.Contains("\n"+lower+"\n", "\n\n") || strings.Contains("\n"+lower+"\n", "\n\r\n") || strings.Contains(lower, "content-length") {
			return // The head is complete without the rest.
		}
		head := "HTTP/1.1 200 OK\r\n" + string(fields) + "\r\n"
		answer := head + "Content-Length: 12\r\nBeryl-Call: 1\r\nBeryl-Receipt: x\r\n\r\nhello world!"
		n := len(head) + int(cut)%(len(answer)-len(head))
		p := New("", berylheadernames.Default())
		p.dial = func(context.Context, string) (net.Conn, error) {
			client, server := net.Pipe()
			go func() {
				defer func() { _ = server.Close() }()
				if _, err := server.Read(make([]byte, 4<<10)); err == nil {
					_, _ = io.WriteString(server, answer[:n]) // The pool may have closed the connection.
				}
			}()
			return client, nil
		}
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		reply := p.Send(ctx, &Request{Method: http.MethodGet, URI: "/", Host: "h", ID: "1", Header: http.Header{}}, func() {})
		require.NotEqual(t, berylattempt.Answered, reply.Outcome, "%q", answer[:n])
	})
}
