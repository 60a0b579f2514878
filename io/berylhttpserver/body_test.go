package berylhttpserver

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// pipeListener accepts the connections of a channel.
type pipeListener chan net.Conn

func (l pipeListener) Accept() (net.Conn, error) {
	if c, ok := <-l; ok {
		return c, nil
	}
	return nil, net.ErrClosed
}

func (l pipeListener) Close() error   { return nil }
func (l pipeListener) Addr() net.Addr { return nil }

// The timeout for reading a streamed body canceled the request that ran on after its end.
func TestRequestIsCanceledWhenTimeoutOfItsBodyHasPassed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ln := make(pipeListener)
		s := New(ln, func(ctx context.Context, r *Request) *Answer {
			_, err := io.Copy(io.Discard, r.Stream)
			if err != nil {
				return &Answer{Abort: true}
			}
			select {
			case <-ctx.Done():
				return &Answer{Abort: true}
			case <-time.After(2 * transferTimeout):
				return textAnswer("whole")
			}
		}, func(*Request) bool { return false }, testLimits)
		go s.Run(context.Background())
		client, server := net.Pipe()
		ln <- server
		_, err := fmt.Fprintf(client, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", 2*maxBufferedBody, strings.Repeat("a", 2*maxBufferedBody))
		require.NoError(t, err)
		answer := make([]byte, 1<<10)
		n, err := client.Read(answer)
		require.NoError(t, err)
		require.Contains(t, string(answer[:n]), "whole")
		require.NoError(t, client.Close())
		close(ln)
		s.Close()
	})
}
