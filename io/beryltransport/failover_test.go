package beryltransport_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"berylspan/io/berylfaultlink"
	"berylspan/io/berylserver"
	"berylspan/io/beryltransport"

	"github.com/stretchr/testify/require"
)

// get sends a request with a timeout and returns its error.
func get(ctx context.Context, t *testing.T, c *beryltransport.FailoverClient, addr string, timeout time.Duration) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/", http.NoBody)
	require.NoError(t, err)
	res, err := c.Do(req)
	if err != nil {
		return err
	}
	return res.Body.Close()
}

// A time-out under load had made a client open a second connection. When both
// connections went silent later, the request after the first time-out was sent on the
// other silent one, and the caller was refused.
func TestRequestAfterTimeoutUsesNewConnection(t *testing.T) {
	server, err := berylserver.Start("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNoContent)
	}), nil)
	require.NoError(t, err)
	t.Cleanup(func() { _ = server.Close() })
	for _, tc := range []struct {
		name  string
		since time.Duration // from the opening of the second connection until both go silent
	}{
		{"second connection was opened long ago", time.Second},
		{"second connection was opened a short time ago", 300 * time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			link := berylfaultlink.New(0)
			c := beryltransport.NewFailoverClient(link.Dial(beryltransport.NetDial()), nil)
			t.Cleanup(c.CloseIdleConnections)
			ctx := context.Background()
			require.NoError(t, get(ctx, t, c, server.Addr(), time.Second))
			require.NoError(t, get(beryltransport.WithFailover(ctx), t, c, server.Addr(), time.Second))
			time.Sleep(tc.since)
			link.Silence()
			require.ErrorIs(t, get(ctx, t, c, server.Addr(), 60*time.Millisecond), context.DeadlineExceeded)
			require.NoError(t, get(ctx, t, c, server.Addr(), time.Second))
		})
	}
}
