package berylrelay_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"berylspan/core/berylexchange"
	"berylspan/core/beryloutcome"
	"berylspan/io/berylechoclient"
	"berylspan/io/berylheader"
	"berylspan/io/berylrelay"
	"berylspan/io/beryltransport"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"
)

// statusTimeout is the time limit of calls whose answers have a status that no answer may have.
// They must end long before it.
const statusTimeout = 2 * time.Second

// startAnswering starts a server that answers the first call of each connection with raw and then
// keeps the connection open.
func startAnswering(t *testing.T, raw string) (addr string) {
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
				if _, err := c.Read(make([]byte, 4<<10)); err == nil {
					_, _ = io.WriteString(c, raw) // The test notices if it is missing.
					_, _ = io.Copy(io.Discard, c) // As above.
				}
			}()
		}
	}()
	return ln.Addr().String()
}

// requireMayHaveRun requires that a call that is answered with raw is refused at once, and that it
// may have run.
func requireMayHaveRun(t *testing.T, raw, protocol string, streaming bool) {
	t.Helper()
	client := berylechoclient.New(beryltransport.NetDial(), berylheader.Call)
	t.Cleanup(client.CloseIdleConnections)
	relay := berylrelay.New(client, "http", 1<<20)
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	x := &berylexchange.Exchange{Path: "/s.S/M", Codec: "json", Protocol: protocol, Header: http.Header{}, Body: []byte("{}")}
	if streaming {
		x.Sink = func(http.Header, []byte) error { return nil }
	}
	addr, done := startAnswering(t, raw), make(chan *beryloutcome.Outcome, 1)
	go func() { done <- relay.Do(ctx, addr, x, http.Header{berylheader.Call: {"1"}}, statusTimeout) }()
	var out *beryloutcome.Outcome
	select {
	case out = <-done:
	case <-time.After(2 * statusTimeout):
		require.Fail(t, "the call held its slot beyond its time limit")
	}
	require.NoError(t, ctx.Err(), "the call held its slot until its time limit")
	require.NotNil(t, out.Refusal, "answer %q, error %v", out.Body, out.Err)
	require.True(t, out.Refusal.MayHaveRun)
}

// requireAllMayHaveRun tries each status line with each protocol, header and framing.
func requireAllMayHaveRun(t *testing.T, statusLines []string, bodies bool) {
	framings := map[string]string{
		"length":    "Content-Length: 22\r\n\r\n%s",
		"chunks":    "Transfer-Encoding: chunked\r\n\r\n16\r\n%s\r\n0\r\n\r\n",
		"no length": "\r\n%s\n",
	}
	if !bodies {
		framings["length 0"], framings["no body"] = "Content-Length: 0\r\n\r\n", "\r\n"
	}
	const body = `{"code":"unavailable"}`
	headers := map[string]string{"own id": berylheader.Call + ": 1\r\n", "own id and not run": berylheader.Call + ": 1\r\n" + berylheader.Run + ": not run\r\n", "no id": ""}
	for _, statusLine := range statusLines {
		for headerName, header := range headers {
			for framingName, framing := range framings {
				for protocol, contentType := range map[string]string{connect.ProtocolConnect: "application/json", connect.ProtocolGRPC: "application/grpc+json", connect.ProtocolGRPCWeb: "application/grpc-web+json"} {
					for _, streaming := range []bool{false, true} {
						t.Run(fmt.Sprintf("%s/%s/%s/%s/streaming %v", statusLine, headerName, framingName, protocol, streaming), func(t *testing.T) {
							t.Parallel()
							raw := statusLine + "\r\nContent-Type: " + contentType + "\r\nGrpc-Status: 0\r\n" + header + strings.Replace(framing, "%s", body, 1)
							requireMayHaveRun(t, raw, protocol, streaming)
						})
					}
				}
			}
		}
	}
}

// A server answers a call with status 000 and an error. The error went to the caller, and marked as
// not run it counted as a promise.
func TestCallAnsweredWithStatus000IsBelieved(t *testing.T) {
	requireAllMayHaveRun(t, []string{"HTTP/1.1 000 X", "HTTP/1.1 099 X", "HTTP/1.1 +99 X", "HTTP/1.1 101 Switching Protocols", "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x", "HTTP/1.1 600 X", "HTTP/1.1 999 X", "HTTP/1.1 -12 X", "HTTP/1.1 2000 X", "HTTP/1.1"}, false)
}

// A server sends an interim answer with a body, which counted as the begin of the answer.
func TestInterimAnswerWithABodyHoldsItsCall(t *testing.T) {
	requireAllMayHaveRun(t, []string{"HTTP/1.1 100 Continue", "HTTP/1.1 102 Processing", "HTTP/1.1 199 X"}, true)
}
