package berylmesh

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"berylspan/core/berylattempt"
	"berylspan/io/berylreply"
	"berylspan/io/berylrequest"

	"github.com/stretchr/testify/require"
)

// record returns the bytes that an instance replies with to a request.
func record(t *testing.T, reply func() *berylreply.Reply) []byte {
	t.Helper()
	m, addr := newPair(t, func(context.Context, *berylrequest.Request) *berylreply.Reply { return reply() })
	var sent []byte
	link := startLink(t, func(c net.Conn) {
		up, err := net.Dial("tcp", addr)
		if err != nil {
			return
		}
		defer func() { _ = up.Close() }()
		go func() { _, _ = io.Copy(up, c) }() // Ends with the connections.
		buf := make([]byte, 64<<10)
		for {
			n, err := up.Read(buf)
			sent = append(sent, buf[:n]...)
			if err != nil {
				return
			}
			_, _ = c.Write(buf[:n]) // As above.
		}
	})
	r := m.Send(context.Background(), link, newRequest("1"))
	require.Equal(t, berylattempt.Answered, r.Outcome)
	_, err := io.Copy(io.Discard, r.Reader())
	require.NoError(t, err)
	r.Close()
	return sent
}

// startLink starts a listener that handles each connection with serve.
func startLink(t *testing.T, serve func(c net.Conn)) (addr string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				serve(c)
			}()
		}
	}()
	return ln.Addr().String()
}

// An instance ends anywhere in its reply. What has arrived must not be taken for a complete one.
func TestCutReplyIsNeverComplete(t *testing.T) {
	for _, tc := range []struct {
		name  string
		reply func() *berylreply.Reply
	}{
		{"whole body", func() *berylreply.Reply {
			return &berylreply.Reply{Outcome: berylattempt.Answered, Status: 200, Header: http.Header{"X-A": {"b"}}, Body: []byte("hello world!"), Length: 12}
		}},
		{"empty body", func() *berylreply.Reply {
			return &berylreply.Reply{Outcome: berylattempt.Answered, Status: 200, Header: http.Header{"X-A": {"b"}}}
		}},
		{"streamed body with a length", func() *berylreply.Reply {
			return &berylreply.Reply{Outcome: berylattempt.Answered, Status: 200, Header: http.Header{}, Body: []byte("hello "), Stream: io.NopCloser(strings.NewReader("world!")), Length: 12}
		}},
		{"streamed body without a length", func() *berylreply.Reply {
			return &berylreply.Reply{Outcome: berylattempt.Answered, Status: 200, Header: http.Header{}, Body: []byte("hello "), Stream: io.NopCloser(strings.NewReader("world!")), Length: -1}
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			whole := record(t, tc.reply)
			require.NotEmpty(t, whole)
			n := 0
			addr := startLink(t, func(c net.Conn) {
				if _, err := c.Read(make([]byte, 64<<10)); err == nil {
					_, _ = c.Write(whole[:n]) // The test notices if it is missing.
				}
			})
			m, _ := newPair(t, nil)
			for ; n < len(whole); n++ {
				ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
				reply := m.Send(ctx, addr, newRequest("1"))
				if reply.Outcome == berylattempt.Answered {
					_, err := io.Copy(io.Discard, reply.Reader())
					require.Error(t, err, "%d of %d bytes", n, len(whole))
				} else {
					require.Equal(t, berylattempt.Unknown, reply.Outcome)
				}
				reply.Close()
				require.NoError(t, ctx.Err())
				cancel()
			}
		})
	}
}
