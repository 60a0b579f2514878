package beryltransport_test

import (
	"context"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"berylspan/io/beryltransport"

	"github.com/stretchr/testify/require"
)

// A backend server or the platform sends a head without end. net/http stops at the limit of
// the transport, which is 10 MB by default.
func TestHeadWithoutEndIsBounded(t *testing.T) {
	for _, tc := range []struct{ name, prefix, filler string }{
		{"before the status line", "", "x"},
		{"one header field", "HTTP/1.1 200 OK\r\nX-Filler: ", "a"},
		{"header fields", "HTTP/1.1 200 OK\r\n", "X-Filler: a\r\n"},
		{"interim answers", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			t.Cleanup(func() { _ = ln.Close() })
			sent := make(chan int, 1)
			go func() {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				defer func() { _ = c.Close() }()
				if _, err := c.Read(make([]byte, 4<<10)); err != nil {
					return
				}
				// Writing a string would allocate a copy for each write, which counts below.
				n, err := c.Write([]byte(tc.prefix))
				block := []byte(strings.Repeat(tc.filler, 1+(16<<10)/len(tc.filler)))
				for err == nil {
					var k int
					k, err = c.Write(block)
					n += k
				}
				sent <- n
			}()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+ln.Addr().String()+"/", http.NoBody)
			require.NoError(t, err)
			_, err = beryltransport.HTTP1(beryltransport.NetDial()).Do(req)
			require.Error(t, err)
			require.NoError(t, ctx.Err(), "the request ended only with its deadline")
			runtime.ReadMemStats(&after)
			require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(4<<20), "bytes allocated for the head")
			select {
			case <-sent:
			case <-time.After(2 * time.Second):
				t.Fatal("the connection was not closed within 2 s")
			}
		})
	}
}
