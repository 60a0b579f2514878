package berylmesh

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"berylspan/core/berylattempt"
	"berylspan/core/berylheadernames"
	"berylspan/io/berylreply"
	"berylspan/io/berylrequest"

	"github.com/stretchr/testify/require"
)

// An answer is read late if it waits behind a slower one of its connection, or if its caller
// reads slowly.
func TestReplyThatIsReadLateIsCut(t *testing.T) {
	for _, tc := range []struct {
		name  string
		delay time.Duration
	}{
		{"read at once", 0},
		{"read after twice the timeout for unacknowledged data", 2 * tcpUserTimeout},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			body := bytes.Repeat([]byte("x"), 8<<20)
			lc := &net.ListenConfig{Control: SetTCPUserTimeout} // As the daemon listens.
			ln, err := lc.Listen(context.Background(), "tcp", "127.0.0.1:0")
			require.NoError(t, err)
			m := New(berylheadernames.Default())
			ctx, cancel := context.WithCancel(context.Background())
			s := m.NewServer(ln, func(context.Context, *berylrequest.Request) *berylreply.Reply {
				return &berylreply.Reply{Outcome: berylattempt.Answered, Status: 200, Header: http.Header{}, Body: body, Length: int64(len(body))}
			})
			done := make(chan struct{})
			go func() { s.Run(ctx); close(done) }()
			t.Cleanup(func() { cancel(); s.Close(); <-done; m.Close() })
			reply := m.Send(context.Background(), ln.Addr().String(), newRequest("1"))
			require.Equal(t, berylattempt.Answered, reply.Outcome)
			time.Sleep(tc.delay)
			got, err := io.ReadAll(reply.Reader())
			require.NoError(t, err, "%d of %d B read", len(got), len(body))
			require.Equal(t, body, got)
			reply.Close()
		})
	}
}
