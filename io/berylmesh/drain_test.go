package berylmesh

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"berylspan/core/berylattempt"
	"berylspan/core/berylheadernames"
	"berylspan/io/berylreply"
	"berylspan/io/berylrequest"

	"github.com/stretchr/testify/require"
)

const replyTime = 300 * time.Millisecond

// newServer returns a mesh, a server that passes requests to handle, and its address.
func newServer(t *testing.T, handle func(ctx context.Context, req *berylrequest.Request) *berylreply.Reply) (*Mesh, *Server, string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	m := New(berylheadernames.Default())
	ctx, cancel := context.WithCancel(context.Background())
	s := m.NewServer(ln, handle)
	done := make(chan struct{})
	go func() { s.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); s.Close(); <-done; m.Close() })
	return m, s, ln.Addr().String()
}

func wholeReply(body []byte) *berylreply.Reply {
	return &berylreply.Reply{Outcome: berylattempt.Answered, Status: 200, Header: http.Header{}, Body: body, Length: int64(len(body))}
}

func TestEndOfRequestWhenServerDrains(t *testing.T) {
	for _, c := range []struct {
		name   string
		handle func(ctx context.Context) *berylreply.Reply
		want   berylattempt.Outcome
	}{
		{"ends in time: its reply is received", func(context.Context) *berylreply.Reply {
			time.Sleep(150 * time.Millisecond)
			return wholeReply([]byte("answer"))
		}, berylattempt.Answered},
		{"runs for too long: cancelled, its outcome is received", func(ctx context.Context) *berylreply.Reply {
			<-ctx.Done()
			return berylreply.NewFailure(berylattempt.Unknown, berylreply.ReasonCanceled)
		}, berylattempt.Unknown},
		{"waits for too long: its sender knows that it did not run", func(ctx context.Context) *berylreply.Reply {
			<-ctx.Done()
			return berylreply.NewFailure(berylattempt.Unsent, berylreply.ReasonExpired)
		}, berylattempt.Unsent},
	} {
		t.Run(c.name, func(t *testing.T) {
			running := make(chan struct{})
			m, s, addr := newServer(t, func(ctx context.Context, _ *berylrequest.Request) *berylreply.Reply {
				close(running)
				return c.handle(ctx)
			})
			replies := make(chan *berylreply.Reply, 1)
			go func() { replies <- m.Send(context.Background(), addr, newRequest("1")) }()
			<-running
			s.Drain(250*time.Millisecond, replyTime)
			s.Close()
			reply := <-replies
			require.Equal(t, c.want, reply.Outcome)
			require.NotEqual(t, berylreply.ReasonConnectionBroken, reply.Reason)
			require.Equal(t, berylattempt.Unsent, m.Send(context.Background(), addr, newRequest("2")).Outcome)
		})
	}
}

// The server can't tell a connection that rests from one on which a request is on its way.
func TestRequestOnItsWayWhileServerDrainsIsRefused(t *testing.T) {
	var handled atomic.Int32
	m, s, addr := newServer(t, func(context.Context, *berylrequest.Request) *berylreply.Reply {
		handled.Add(1)
		return wholeReply(nil)
	})
	var conns []*conn
	for _, used := range []bool{false, true} {
		c, err := m.get(context.Background(), addr)
		require.NoError(t, err)
		t.Cleanup(c.close)
		if used {
			_, err := m.writeRequest(c, newRequest("1"))
			require.NoError(t, err)
			_, err = m.readReply(c, "1")
			require.NoError(t, err)
		}
		conns = append(conns, c)
	}
	time.Sleep(20 * time.Millisecond) // until the server serves both
	go s.Drain(time.Second, replyTime)
	time.Sleep(50 * time.Millisecond)
	for _, c := range conns {
		_, err := m.writeRequest(c, newRequest("2"))
		require.NoError(t, err)
		reply, err := m.readReply(c, "2")
		require.NoError(t, err)
		require.Equal(t, berylattempt.Unsent, reply.Outcome)
		require.Equal(t, berylreply.ReasonShuttingDown, reply.Reason)
		require.False(t, reply.HasLoad)
	}
	require.EqualValues(t, 1, handled.Load())
}

func TestDrainWaitsUntilReplyIsWritten(t *testing.T) {
	body := bytes.Repeat([]byte("a"), 16<<20)
	for _, c := range []struct {
		name  string
		reply func() *berylreply.Reply
	}{
		{"whole", func() *berylreply.Reply { return wholeReply(body) }},
		{"streamed", func() *berylreply.Reply {
			reply := wholeReply(nil)
			reply.Stream, reply.Length = io.NopCloser(bytes.NewReader(body)), int64(len(body))
			return reply
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			m, s, addr := newServer(t, func(context.Context, *berylrequest.Request) *berylreply.Reply { return c.reply() })
			nc, err := m.get(context.Background(), addr)
			require.NoError(t, err)
			defer nc.close()
			_, err = m.writeRequest(nc, newRequest("1"))
			require.NoError(t, err)
			reply, err := m.readReply(nc, "1")
			require.NoError(t, err)
			go func() {
				s.Drain(100*time.Millisecond, time.Second)
				s.Close()
			}()
			time.Sleep(200 * time.Millisecond) // beyond the time for work
			got, err := io.ReadAll(reply.Reader())
			require.NoError(t, err)
			require.Len(t, got, len(body))
		})
	}
}
