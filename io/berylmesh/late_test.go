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

// newListeningPair is newPair with a listener like that of the daemon.
func newListeningPair(t *testing.T, handle func(ctx context.Context, req *berylrequest.Request) *berylreply.Reply) (*Mesh, string) {
	t.Helper()
	lc := &net.ListenConfig{Control: SetTCPUserTimeout}
	ln, err := lc.Listen(context.Background(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	m := New(berylheadernames.Default())
	ctx, cancel := context.WithCancel(context.Background())
	s := m.NewServer(ln, handle)
	done := make(chan struct{})
	go func() { s.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); s.Close(); <-done; m.Close() })
	return m, ln.Addr().String()
}

// An answer is read late if it waits behind a slower one of its connection, or if its caller
// reads slowly.
func TestReplyThatIsReadLateIsCut(t *testing.T) {
	for _, tc := range []struct {
		name  string
		size  int // bytes
		delay time.Duration
	}{
		{"read at once", 8 << 20, 0},
		{"read after twice the timeout for unacknowledged data", 8 << 20, 2 * tcpUserTimeout},
		{"written whole and read after twice the timeout", 512 << 10, 2 * tcpUserTimeout},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			body := bytes.Repeat([]byte("x"), tc.size)
			m, addr := newListeningPair(t, func(context.Context, *berylrequest.Request) *berylreply.Reply {
				return &berylreply.Reply{Outcome: berylattempt.Answered, Status: 200, Header: http.Header{}, Body: body, Length: int64(len(body))}
			})
			reply := m.Send(context.Background(), addr, newRequest("1"))
			require.Equal(t, berylattempt.Answered, reply.Outcome)
			time.Sleep(tc.delay)
			got, err := io.ReadAll(reply.Reader())
			require.NoError(t, err, "%d of %d B read", len(got), len(body))
			require.Equal(t, body, got)
			reply.Close()
		})
	}
}

// A request body is read late if the backend server reads slowly.
func TestRequestBodyThatIsReadLateIsCut(t *testing.T) {
	for _, tc := range []struct {
		name  string
		size  int // bytes
		delay time.Duration
	}{
		{"read at once", 8 << 20, 0},
		{"read after twice the timeout for unacknowledged data", 8 << 20, 2 * tcpUserTimeout},
		{"written whole and read after twice the timeout", 512 << 10, 2 * tcpUserTimeout},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			var read int64
			var readErr error
			m, addr := newListeningPair(t, func(_ context.Context, req *berylrequest.Request) *berylreply.Reply {
				time.Sleep(tc.delay)
				read, readErr = io.Copy(io.Discard, req.Stream)
				return &berylreply.Reply{Outcome: berylattempt.Answered, Status: 200, Header: http.Header{}}
			})
			req := newRequest("1")
			req.Body, req.Length, req.Deadline = nil, int64(tc.size), time.Now().Add(time.Minute)
			req.Stream = bytes.NewReader(make([]byte, tc.size))
			reply := m.Send(context.Background(), addr, req)
			require.Equal(t, berylattempt.Answered, reply.Outcome, reply.Reason)
			require.NoError(t, readErr)
			require.Equal(t, int64(tc.size), read)
		})
	}
}
