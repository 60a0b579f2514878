package berylrelay_test

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

	"berylspan/core/berylexchange"
	"berylspan/io/berylrelay"
	"berylspan/io/beryltransport"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"
)

// A backend server that speaks HTTP/1.1 stops anywhere in its answer and closes. What has
// arrived must not be taken for a complete answer.
func TestCutAnswerIsNeverComplete(t *testing.T) {
	const (
		unary  = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
		stream = "HTTP/1.1 200 OK\r\nContent-Type: application/connect+json\r\nTransfer-Encoding: chunked\r\n\r\n"
	)
	message := "\x00\x00\x00\x00\x02{}"
	end := "\x02\x00\x00\x00\x02{}"
	chunk := func(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }
	for _, tc := range []struct {
		name, answer string
		streaming    bool
		endsWithConn bool // the body has no length and ends with the connection
	}{
		{"unary with a length", unary + "Content-Length: 12\r\n\r\n{\"a\":[1,2]}\n", false, false},
		{"unary in chunks", unary + "Transfer-Encoding: chunked\r\n\r\n" + chunk(`{"a":`) + chunk(`1}`) + "0\r\n\r\n", false, false},
		{"unary without a length", unary + "\r\n{\"a\":[1,2]}", false, true},
		{"unary HTTP/1.0", strings.Replace(unary, "1.1", "1.0", 1) + "\r\n{\"a\":[1,2]}", false, true},
		{"stream", stream + chunk(message) + chunk(message+end) + "0\r\n\r\n", true, false},
		{"stream without a length", strings.Replace(stream, "Transfer-Encoding: chunked\r\n", "", 1) + message + message + end, true, false},
	} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/reset %v", tc.name, reset), func(t *testing.T) {
				var sent atomic.Int64 // bytes that the server sends
				ln, err := net.Listen("tcp", "127.0.0.1:0")
				require.NoError(t, err)
				t.Cleanup(func() { _ = ln.Close() })
				go func() {
					for {
						c, err := ln.Accept()
						if err != nil {
							return
						}
						if r, err := c.Read(make([]byte, 4<<10)); err == nil && r > 0 {
							_, _ = io.WriteString(c, tc.answer[:sent.Load()]) // The test notices if it is missing.
						}
						if tcp, ok := c.(*net.TCPConn); ok && reset {
							_ = tcp.SetLinger(0) // Close sends a reset.
						}
						_ = c.Close()
					}
				}()
				client := beryltransport.HTTP1(beryltransport.NetDial())
				t.Cleanup(client.CloseIdleConnections)
				relay := berylrelay.New(client, "http", 1<<20)
				last := len(tc.answer)
				switch {
				case tc.streaming:
					last = strings.LastIndex(tc.answer, end) + len(end) // This message tells that the stream is complete.
				case tc.endsWithConn && !reset:
					last = strings.Index(tc.answer, "\r\n\r\n") + len("\r\n\r\n") // Nothing tells a cut body from a complete one.
				}
				for n := range last {
					sent.Store(int64(n))
					ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
					x := &berylexchange.Exchange{Path: "/s.S/M", Codec: "json", Protocol: connect.ProtocolConnect, Header: http.Header{}, Body: []byte("{}")}
					if tc.streaming {
						x.Sink = func(http.Header, []byte) error { return nil }
					}
					out := relay.Do(ctx, ln.Addr().String(), x, http.Header{}, time.Second)
					require.NoError(t, ctx.Err())
					cancel()
					require.False(t, out.Refusal == nil && out.Err == nil, "%d of %d bytes, body %q", n, len(tc.answer), out.Body)
					if out.Refusal != nil {
						require.True(t, out.Refusal.MayHaveRun)
					}
				}
			})
		}
	}
}

// The system reports a reset once: to the write of the end of a request or to the read of the
// answer. If it was the write, the read ended like that of a complete answer without a length.
func TestResetAnswerWithoutLengthIsComplete(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n{\"a\":[1,"
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			if _, err := c.Read(make([]byte, 4<<10)); err == nil {
				_, _ = io.WriteString(c, answer) // The test notices if it is missing.
			}
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0) // Close sends a reset.
			}
			_ = c.Close()
		}
	}()
	client := beryltransport.HTTP1(beryltransport.NetDial())
	t.Cleanup(client.CloseIdleConnections)
	relay := berylrelay.New(client, "http", 1<<20)
	body := make([]byte, 256<<10) // Written while the answer is read.
	for i := range 1000 {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		x := &berylexchange.Exchange{Path: "/s.S/M", Codec: "json", Protocol: connect.ProtocolConnect, Header: http.Header{}, Body: body}
		out := relay.Do(ctx, ln.Addr().String(), x, http.Header{}, time.Second)
		cancel()
		require.False(t, out.Refusal == nil && out.Err == nil, "call %d, body %q", i, out.Body)
	}
}
