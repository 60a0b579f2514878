package berylconnpool

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"berylspan/core/berylattempt"
	"berylspan/core/berylheadernames"

	"github.com/stretchr/testify/require"
)

// Whatever a backend server sends, the attempt ends, and only an answer with the id of the
// request counts as one.
func FuzzResponse(f *testing.F) {
	for _, seed := range []string{
		"", okAnswer("1", "body"), okAnswer("0", "late") + okAnswer("1", "body"), chunkedHead + "1\r\na\r\n0\r\n\r\n", chunkedHead + "1;",
		"HTTP/1.1 103 Early Hints\r\n\r\n" + okAnswer("1", ""), "HTTP/1.1 503 X\r\nBeryl-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 421 X\r\nBeryl-Actual: i-2\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 200 OK\r\nBeryl-Call: 1\r\nBeryl-Receipt: x\r\n\r\nbody", "garbage\r\n\r\n",
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
