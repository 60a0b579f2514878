package berylconnpool

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"berylspan/core/berylattempt"
	"berylspan/core/berylheadernames"
	"berylspan/io/berylreply"

	"github.com/stretchr/testify/require"
)

// Whatever a backend server sends, the attempt ends, and only an answer with the id of the
// request counts as one.
func FuzzResponse(f *testing.F) {
	for _, seed := range []string{
		"", okAnswer("1", "body"), okAnswer("0", "late") + okAnswer("1", "body"), chunkedHead + "1\r\na\r\n0\r\n\r\n", chunkedHead + "1;",
		"HTTP/1.1 103 Early Hints\r\n\r\n" + okAnswer("1", ""), "HTTP/1.1 503 X\r\nBeryl-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 421 X\r\nBeryl-Actual: i-2\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 200 OK\r\nBeryl-Call: 1\r\nBeryl-Receipt: x\r\n\r\nbody", "garbage\r\n\r\n",
		"HTTP/1.1 000 X\r\nBeryl-Call: 1\r\nContent-Length: 4\r\n\r\nbody", "HTTP/1.1 099 X\r\n\r\n" + okAnswer("1", ""), "HTTP/1.1 +99 X\r\n\r\n" + okAnswer("1", ""),
		"HTTP/1.1 101 X\r\n\r\n" + okAnswer("1", ""), "HTTP/1.1 100 X\r\nContent-Length: 4\r\n\r\nbody" + okAnswer("1", ""), "HTTP/1.1 102 X\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		errorAnswer(600, "1", ""), errorAnswer(999, "1", notRun), errorAnswer(-12, "1", ""), "HTTP/1.1 200\r\nBeryl-Call: 1\r\nBeryl-Receipt: x\r\n\r\n", "HTTP/1.1\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	names := berylheadernames.Default()
	f.Fuzz(func(t *testing.T, response []byte) {
		p := New("", names)
		p.dial = func(context.Context, string) (net.Conn, error) {
			client, server := net.Pipe()
			go func() {
				defer func() { _ = server.Close() }()
				if _, err := server.Read(make([]byte, 4<<10)); err == nil {
					_, _ = server.Write(response)
				}
			}()
			return client, nil
		}
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		ended := false
		reply := p.Send(ctx, &Request{Method: "GET", URI: "/", Host: "h", ID: "1", Header: http.Header{}}, func() { ended = true })
		requirePossibleStatus(t, reply)
		if reply.Outcome == berylattempt.Answered {
			if id := reply.Header.Get(names.RequestID); id != "" || reply.Status < http.StatusBadRequest {
				require.Equal(t, "1", id)
			}
			_, _ = io.Copy(io.Discard, reply.Reader())
		}
		reply.Close()
		require.True(t, ended)
		require.NoError(t, ctx.Err(), "the attempt did not end with the connection")
	})
}

// requirePossibleStatus requires that only a response with the status of an answer counts as
// one, or as a rejection.
func requirePossibleStatus(t *testing.T, reply *berylreply.Reply) {
	if reply.Outcome != berylattempt.Unknown {
		require.GreaterOrEqual(t, reply.Status, 200)
		require.Less(t, reply.Status, 600)
	}
}

// Whatever a backend server sends on a connection that was used before, only what has the id of
// the request tells anything about the request.
func FuzzResponseOnKeptConnection(f *testing.F) {
	for _, seed := range []string{
		"", okAnswer("1", "body"), errorAnswer(503, "", notRun), errorAnswer(421, "", ""), errorAnswer(500, "", ""), errorAnswer(503, "0", notRun) + okAnswer("1", "body"),
		errorAnswer(503, "1", notRun), errorAnswer(503, "", notRun) + okAnswer("1", "body"), "HTTP/1.1 103 Early Hints\r\n\r\n" + errorAnswer(400, "", notRun),
		"HTTP/1.1 000 X\r\nBeryl-Call: 1\r\nContent-Length: 4\r\n\r\nbody", "HTTP/1.1 000 X\r\nBeryl-Call: 0\r\n\r\n" + okAnswer("1", "body"), "HTTP/1.1 101 X\r\n\r\n" + okAnswer("1", "body"),
		"HTTP/1.1 100 X\r\nContent-Length: 4\r\n\r\nbody", errorAnswer(600, "1", ""), errorAnswer(999, "1", notRun), errorAnswer(999, "", notRun), errorAnswer(20, "1", notRun),
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, response []byte) {
		p := New("", berylheadernames.Default())
		dials := 0
		p.dial = func(context.Context, string) (net.Conn, error) {
			dials++
			client, server := net.Pipe()
			go func() {
				defer func() { _ = server.Close() }()
				buf := make([]byte, 4<<10)
				for _, b := range [][]byte{[]byte(errorAnswer(503, "0", notRun)), response} {
					if _, err := server.Read(buf); err != nil {
						return
					}
					_, _ = server.Write(b) // The pool may have closed the connection.
				}
			}()
			return client, nil
		}
		require.Equal(t, berylattempt.Rejected, send(p, "0", false).Outcome)
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		reply := p.Send(ctx, &Request{Method: "GET", URI: "/", Host: "h", ID: "1", Header: http.Header{}}, func() {})
		require.Equal(t, 1, dials)
		requirePossibleStatus(t, reply)
		if reply.Outcome != berylattempt.Unknown {
			require.Contains(t, strings.ToLower(string(response)), "beryl-call:")
		}
		if reply.Outcome == berylattempt.Answered {
			require.Equal(t, "1", reply.Header.Get("Beryl-Call"))
			_, _ = io.Copy(io.Discard, reply.Reader())
		}
		reply.Close()
		require.NoError(t, ctx.Err(), "the attempt did not end with the connection")
	})
}
