package berylhttpserver

import (
	"context"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// startWithLimits starts a server with the given limits and returns a connection to it.
func startWithLimits(t *testing.T, limits Limits, handle func(ctx context.Context, r *Request) *Answer) net.Conn {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := New(ln, handle, func(*Request) bool { return false }, func() Limits { return limits })
	go s.Run(context.Background())
	t.Cleanup(s.Close)
	nc, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = nc.Close() })
	return nc
}
