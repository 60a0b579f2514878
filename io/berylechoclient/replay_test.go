package berylechoclient_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"berylspan/core/berylexchange"
	"berylspan/io/berylechoclient"
	"berylspan/io/berylheader"
	"berylspan/io/berylrelay"
	"berylspan/io/beryltransport"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"
)

// serveAndDrop counts the calls by id and answers them, but closes the connection in place of an
// answer to the call "dropped".
func serveAndDrop(nc net.Conn, ran func(id string)) {
	defer func() { _ = nc.Close() }() // The client may have closed it.
	br := bufio.NewReader(nc)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body) // The client may have left.
		id := req.Header.Get(berylheader.Call)
		ran(id)
		if id == "dropped" {
			return
		}
		_, _ = fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n%s: %s\r\nContent-Length: 2\r\n\r\n{}", berylheader.Call, id)
	}
}

// Guards against a call that net/http sends once more by itself, and that runs twice, because the
// caller's header makes it look idempotent.
func TestCallWithAnIdempotencyHeaderRunsTwice(t *testing.T) {
	for _, name := range []string{"idempotency-key", "X-Idempotency-Key"} {
		for _, body := range []string{"{}", ""} {
			t.Run(fmt.Sprintf("%s, body %q", name, body), func(t *testing.T) {
				ln, err := net.Listen("tcp", "127.0.0.1:0")
				require.NoError(t, err)
				t.Cleanup(func() { _ = ln.Close() })
				var mu sync.Mutex
				runs := map[string]int{}
				ran := func(id string) {
					mu.Lock()
					defer mu.Unlock()
					runs[id]++
				}
				go func() {
					for {
						nc, err := ln.Accept()
						if err != nil {
							return
						}
						go serveAndDrop(nc, ran)
					}
				}()
				relay := berylrelay.New(berylechoclient.New(beryltransport.NetDial(), berylheader.Call), "http", 1<<20)
				for _, id := range []string{"first", "second", "dropped"} {
					ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
					x := &berylexchange.Exchange{Path: "/s.S/M", Codec: "json", Protocol: connect.ProtocolConnect, Header: http.Header{name: {"key"}}, Body: []byte(body)}
					out := relay.Do(ctx, ln.Addr().String(), x, http.Header{berylheader.Call: {id}}, time.Second)
					cancel()
					require.Equal(t, id == "dropped", out.Refusal != nil, "call %q", id)
				}
				mu.Lock()
				defer mu.Unlock()
				require.Equal(t, map[string]int{"first": 1, "second": 1, "dropped": 1}, runs)
			})
		}
	}
}
