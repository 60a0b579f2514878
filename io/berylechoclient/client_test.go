package berylechoclient_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"berylspan/io/berylechoclient"
	"berylspan/io/beryltransport"

	"github.com/stretchr/testify/require"
)

// startDoubling starts a server that sends each answer a second time just after it has read
// the next request on the connection. It counts the connections.
func startDoubling(t *testing.T, echo bool) (addr string, conns *atomic.Int32) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	conns = &atomic.Int32{}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			conns.Add(1)
			go func() {
				defer func() { _ = c.Close() }()
				br, last := bufio.NewReader(c), ""
				for {
					r, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					id := r.Header.Get("Beryl-Call")
					answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n", len(id))
					if echo {
						answer += "Beryl-Call: " + id + "\r\n"
					}
					answer += "\r\n" + id
					if _, err := io.WriteString(c, last+answer); err != nil {
						return
					}
					last = answer
				}
			}()
		}
	}()
	return ln.Addr().String(), conns
}

func TestSecondCopyOfAnAnswerIsNeverTakenForTheNext(t *testing.T) {
	for _, tc := range []struct {
		name string
		echo bool
	}{
		{"server does not return the id", false},
		{"server returns the id, so that the caller can compare it", true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			addr, conns := startDoubling(t, tc.echo)
			c := berylechoclient.New(beryltransport.NetDial(), "Beryl-Call")
			t.Cleanup(c.CloseIdleConnections)
			const requests = 20
			for i := range requests {
				ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
				req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/", http.NoBody)
				require.NoError(t, err)
				id := strconv.Itoa(i)
				req.Header.Set("Beryl-Call", id)
				res, err := c.Do(req)
				require.NoError(t, err)
				body, err := io.ReadAll(res.Body)
				require.NoError(t, err)
				require.NoError(t, res.Body.Close())
				cancel()
				if tc.echo {
					require.Equal(t, string(body), res.Header.Get("Beryl-Call"))
					continue
				}
				require.Equal(t, id, string(body))
			}
			require.Equal(t, tc.echo, conns.Load() < requests, "%d connections", conns.Load())
		})
	}
}
