package berylmesh

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
	"berylspan/core/berylheadernames"
	"berylspan/io/berylreply"
	"berylspan/io/berylrequest"

	"github.com/stretchr/testify/require"
)

// newPair returns a mesh and the address of a server that passes requests to handle.
func newPair(t *testing.T, handle func(ctx context.Context, req *berylrequest.Request) *berylreply.Reply, opts ...func(*Mesh)) (*Mesh, string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	m := New(berylheadernames.Default(), opts...)
	ctx, cancel := context.WithCancel(context.Background())
	s := m.NewServer(ln, handle)
	done := make(chan struct{})
	go func() { s.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); s.Close(); <-done; m.Close() })
	return m, ln.Addr().String()
}

func newRequest(id string) *berylrequest.Request {
	now := time.Now()
	return &berylrequest.Request{
		ID: id, Method: "POST", URI: "/a%2Fb?c", Host: "h", Header: http.Header{"X-A": {"1", "2"}, "Beryl-Call": {id}},
		Body: []byte("body"), Length: 4, Rule: "rule", Service: "s", ServerID: "i-1", ServerStartMs: 5, Workspace: "w", Caller: "c",
		Idempotent: true, Nested: true, Rank: 3, Importance: 2, Deadline: now.Add(2 * time.Second), TargetTime: now.Add(time.Second),
	}
}

func TestRequestAndReplyRoundTrip(t *testing.T) {
	var got *berylrequest.Request
	m, addr := newPair(t, func(_ context.Context, req *berylrequest.Request) *berylreply.Reply {
		got = req
		return &berylreply.Reply{
			Outcome: berylattempt.Answered, Status: 201, Header: http.Header{"Beryl-Call": {req.ID}, "X-B": {"3"}}, Body: []byte("answer"), Length: 6,
			Busy: 4, Limit: 5, MeanServiceTime: 20 * time.Millisecond, QueueTime: 7 * time.Millisecond, HasLoad: true,
		}
	})
	for _, id := range []string{"1", "2"} {
		sent := newRequest(id)
		reply := m.Send(context.Background(), addr, sent)
		require.Equal(t, berylattempt.Answered, reply.Outcome)
		require.Equal(t, 201, reply.Status)
		require.Equal(t, http.Header{"Beryl-Call": {id}, "X-B": {"3"}}, reply.Header)
		require.Equal(t, "answer", string(reply.Body))
		require.Equal(t, []any{4, 5, 20 * time.Millisecond, 7 * time.Millisecond, true}, []any{reply.Busy, reply.Limit, reply.MeanServiceTime, reply.QueueTime, reply.HasLoad})
		require.WithinDuration(t, sent.Deadline, got.Deadline, 50*time.Millisecond)
		require.WithinDuration(t, sent.TargetTime, got.TargetTime, 50*time.Millisecond)
		sent.Deadline, sent.TargetTime, got.Deadline, got.TargetTime = time.Time{}, time.Time{}, time.Time{}, time.Time{}
		delete(sent.Header, "Beryl-Call")
		require.Equal(t, sent, got)
	}
}

func TestRefusalIsReturned(t *testing.T) {
	m, addr := newPair(t, func(context.Context, *berylrequest.Request) *berylreply.Reply {
		reply := berylreply.NewFailure(berylattempt.Unsent, berylreply.ReasonQueueFull)
		reply.RetryAfter = 70 * time.Millisecond
		return reply
	})
	reply := m.Send(context.Background(), addr, newRequest("1"))
	require.Equal(t, berylattempt.Unsent, reply.Outcome)
	require.Equal(t, berylreply.ReasonQueueFull, reply.Reason)
	require.Equal(t, 70*time.Millisecond, reply.RetryAfter)
}

func TestLongBodiesAreStreamedInBothDirections(t *testing.T) {
	long := strings.Repeat("x", 300<<10)
	m, addr := newPair(t, func(_ context.Context, req *berylrequest.Request) *berylreply.Reply {
		rest, err := io.ReadAll(req.Stream)
		if err != nil {
			return berylreply.NewFailure(berylattempt.Unknown, berylreply.ReasonConnectionBroken)
		}
		return &berylreply.Reply{Outcome: berylattempt.Answered, Status: 200, Header: http.Header{}, Body: req.Body, Stream: io.NopCloser(bytes.NewReader(rest)), Length: int64(len(rest))}
	})
	for range 2 {
		req := newRequest("1")
		req.Body, req.Stream, req.Length = []byte(long[:1000]), strings.NewReader(long[1000:]), int64(len(long))
		reply := m.Send(context.Background(), addr, req)
		require.Equal(t, berylattempt.Answered, reply.Outcome)
		require.Equal(t, int64(len(long)), reply.Length)
		body, err := io.ReadAll(reply.Reader())
		require.NoError(t, err)
		require.Equal(t, long, string(body))
		reply.Close()
	}
}

// truncatedReader reports that its data ended too early.
type truncatedReader struct{ io.Reader }

func (r truncatedReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if err != nil {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

func TestTruncatedReplyFailsOnRead(t *testing.T) {
	m, addr := newPair(t, func(context.Context, *berylrequest.Request) *berylreply.Reply {
		return &berylreply.Reply{Outcome: berylattempt.Answered, Status: 200, Header: http.Header{}, Stream: io.NopCloser(truncatedReader{strings.NewReader("part")}), Length: -1}
	})
	reply := m.Send(context.Background(), addr, newRequest("1"))
	require.Equal(t, berylattempt.Answered, reply.Outcome)
	_, err := io.ReadAll(reply.Reader())
	require.Error(t, err)
}

func TestCancelingSendCancelsHandler(t *testing.T) {
	ended := make(chan struct{})
	m, addr := newPair(t, func(ctx context.Context, _ *berylrequest.Request) *berylreply.Reply {
		<-ctx.Done()
		close(ended)
		return berylreply.NewFailure(berylattempt.Unknown, berylreply.ReasonCanceled)
	})
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
	defer cancel()
	reply := m.Send(ctx, addr, newRequest("1"))
	require.Equal(t, berylattempt.Unknown, reply.Outcome)
	require.Equal(t, berylreply.ReasonCanceled, reply.Reason)
	select {
	case <-ended:
	case <-time.After(500 * time.Millisecond):
		t.Fatal("handler was not canceled within 500 ms after the sender gave up")
	}
}

func TestFailedDialIsUnsent(t *testing.T) {
	m := New(berylheadernames.Default())
	require.Equal(t, berylattempt.Unsent, m.Send(context.Background(), "127.0.0.1:1", newRequest("1")).Outcome)
}

func TestMalformedMessageClosesConnection(t *testing.T) {
	_, addr := newPair(t, func(context.Context, *berylrequest.Request) *berylreply.Reply {
		t.Error("handler was called for a malformed message")
		return berylreply.NewFailure(berylattempt.Unsent, berylreply.ReasonQueueFull)
	})
	for _, s := range []string{"GET / HTTP/1.1\r\n\r\n", "\x00\x00\x00\x01\x00\x00\x00\x00\xff", "\x00\x00\x00\x00\x00\x00\x00\x00", "\xff\xff\xff\xff\xff\xff\xff\xff"} {
		conn, err := net.Dial("tcp", addr)
		require.NoError(t, err)
		_, err = io.WriteString(conn, s)
		require.NoError(t, err)
		require.NoError(t, conn.SetReadDeadline(time.Now().Add(time.Second)))
		_, err = conn.Read(make([]byte, 1))
		require.Error(t, err)
		require.NotContains(t, err.Error(), "timeout")
		require.NoError(t, conn.Close())
	}
}

// FuzzMessage reads arbitrary bytes as a request.
func FuzzMessage(f *testing.F) {
	f.Add([]byte("\x00\x00\x00\x00\x00\x00\x00\x00"))
	f.Add([]byte("\x00\x00\x00\x03\x00\x00\x00\x01\x10\x00\x00x"))
	m := New(berylheadernames.Default())
	f.Fuzz(func(_ *testing.T, data []byte) {
		near, far := net.Pipe()
		go func() {
			_, _ = near.Write(data)
			_ = near.Close()
		}()
		req, err := m.readRequest(newConn(far))
		if err == nil && req.Stream != nil {
			_, _ = io.Copy(io.Discard, req.Stream)
		}
		_ = far.Close()
	})
}
