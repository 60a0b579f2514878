package berylconnpool

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"berylspan/core/berylattempt"

	"github.com/stretchr/testify/require"
)

// The system reports a reset once: to the write of a request body or to the read of the answer.
// If it was the write, the read ended like that of a complete answer without a length.
func TestResetSeenByTheWriterEndsTheAnswerAsComplete(t *testing.T) {
	for _, tc := range []struct {
		name string
		body string
	}{
		{"short answer", "hello"},
		{"long answer", strings.Repeat("x", 2*maxBufferedAnswer)},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := startRawServer(t, func(c net.Conn) {
				if _, err := c.Read(make([]byte, 1<<10)); err != nil {
					return
				}
				_, _ = io.WriteString(c, okHead+"\r\n"+tc.body) // The test notices if it is missing.
				time.Sleep(20 * time.Millisecond)
				if tcp, ok := c.(*net.TCPConn); ok {
					_ = tcp.SetLinger(0) // Close sends a reset.
				}
			})
			for range 20 {
				body := io.LimitReader(neverEnding{}, 8<<20)
				reply := p.Send(context.Background(), &Request{Method: http.MethodPost, URI: "/", Host: "h", ID: "1", Header: http.Header{}, Stream: body, Length: 8 << 20}, func() {})
				if reply.Outcome == berylattempt.Answered {
					var got bytes.Buffer
					_, err := got.ReadFrom(reply.Reader())
					require.Error(t, err, "%d bytes as a complete answer", got.Len())
					reply.Close()
				}
			}
		})
	}
}

// neverEnding yields bytes a few at a time, so that writes go on.
type neverEnding struct{}

func (neverEnding) Read(p []byte) (int, error) {
	time.Sleep(100 * time.Microsecond)
	return min(len(p), 100), nil
}
