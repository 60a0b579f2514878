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

	"berylspan/core/berylexchange"
	"berylspan/io/berylechoclient"
	"berylspan/io/berylheader"
	"berylspan/io/berylrelay"
	"berylspan/io/beryltransport"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"
)

// startRepeating starts a server that returns the id of each request. It refuses every third
// one, and sends the refusal once more, without the id, before the answer to the next one.
func startRepeating(t *testing.T, status int, header string) (addr string, ran *[60]atomic.Bool) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	ran = &[60]atomic.Bool{}
	refusal := fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Type: application/json\r\n%sContent-Length: 22\r\n%%s\r\n%s", status, header, `{"code":"unavailable"}`)
	serve := func(c net.Conn) {
		defer func() { _ = c.Close() }()
		br, copied := bufio.NewReader(c), ""
		for {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body) // An error shows in the next read.
			id := r.Header.Get(berylheader.Call)
			n, err := strconv.Atoi(id)
			if err != nil {
				return
			}
			answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n%s: %s\r\nContent-Length: 2\r\n\r\n{}", berylheader.Call, id)
			if n%3 == 2 {
				answer = fmt.Sprintf(refusal, berylheader.Call+": "+id+"\r\n")
			} else {
				ran[n].Store(true)
			}
			if _, err := io.WriteString(c, copied+answer); err != nil {
				return
			}
			if copied = ""; n%3 == 2 {
				copied = fmt.Sprintf(refusal, "")
			}
		}
	}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return ln.Addr().String(), ran
}

// A server repeats an earlier refusal without its id, before the answer to a call that it runs.
// The refusal counted for that call.
func TestEarlierRefusalIsTakenForTheNextCall(t *testing.T) {
	for _, tc := range []struct {
		name, header string
		status       int
	}{
		{"marked as not run", berylheader.Run + ": not run\r\n", http.StatusServiceUnavailable},
		{"other error", "", http.StatusServiceUnavailable},
		{"not found", "", http.StatusNotFound},
	} {
		t.Run(tc.name, func(t *testing.T) {
			addr, ran := startRepeating(t, tc.status, tc.header)
			c := berylechoclient.New(beryltransport.NetDial(), berylheader.Call)
			t.Cleanup(c.CloseIdleConnections)
			relay := berylrelay.New(c, "http", 1<<20)
			answered := 0
			for i := range len(ran) {
				ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
				x := &berylexchange.Exchange{Path: "/s.S/M", Codec: "json", Protocol: connect.ProtocolConnect, Header: http.Header{}, Body: []byte("{}")}
				out := relay.Do(ctx, addr, x, http.Header{berylheader.Call: {strconv.Itoa(i)}}, time.Second)
				cancel()
				switch {
				case out.Refusal != nil:
					require.True(t, out.Refusal.MayHaveRun, "call %d", i)
				case out.Err != nil:
					require.False(t, ran[i].Load(), "call %d ran and got the error of an earlier one", i)
				default:
					require.Equal(t, strconv.Itoa(i), out.Header.Get(berylheader.Call))
					answered++
				}
			}
			require.Greater(t, answered, len(ran)/2)
		})
	}
}
