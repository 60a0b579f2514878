package berylhttpserver

import (
	"context"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Whatever a caller sends before it closes its connection, serving the connection ends.
func FuzzRequest(f *testing.F) {
	for _, seed := range []string{
		"", "GET / HTTP/1.1\r\nHost: h\r\n\r\n", "GET /a HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\nbo", "GET / HTTP/1.0\r\n\r\n", "\r\n\r\nGET /\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, sent []byte) {
		s := New(nil, func(context.Context, *Request) *Answer { return textAnswer("ok") }, func(r *Request) bool { return r.Method == "POST" }, testLimits)
		caller, server := net.Pipe()
		ended := make(chan struct{})
		go func() { newConn(context.Background(), s, server).serve(); close(ended) }()
		go func() { _, _ = io.Copy(io.Discard, caller) }()
		require.NoError(t, caller.SetWriteDeadline(time.Now().Add(5*time.Second)))
		_, err := caller.Write(sent)
		require.NotErrorIs(t, err, os.ErrDeadlineExceeded, "the server neither read nor closed the connection for 5 s")
		_ = caller.Close()
		select {
		case <-ended:
		case <-time.After(5 * time.Second):
			t.Fatal("serving the connection did not end within 5 s")
		}
		require.Zero(t, s.Busy())
	})
}
