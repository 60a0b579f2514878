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
	"berylspan/core/berylnames"
	"berylspan/io/berylreply"
	"berylspan/io/berylrequest"

	"github.com/stretchr/testify/require"
)

func pair(t *testing.T, run func(ctx context.Context, w *berylrequest.Request) *berylreply.Reply) (*Mesh, string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	m := New(berylnames.Default())
	ctx, cancel := context.WithCancel(context.Background())
	s := m.Serve(ln, run)
	done := make(chan struct{})
	go func() { s.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); s.Close(); <-done; m.Close() })
	return m, ln.Addr().String()
}

func work(id string) *berylrequest.Request {
	now := time.Now()
	return &berylrequest.Request{
		ID: id, Method: "POST", URI: "/a%2Fb?c", Host: "h", Header: http.Header{"X-A": {"1", "2"}, "Beryl-Call": {id}},
		Body: []byte("body"), Length: 4, Rule: "rule", Service: "s", ServerID: "i-1", ServerStartMs: 5, Workspace: "w", Caller: "c",
		Idempotent: true, Nested: true, Rank: 3, Importance: 2, Deadline: now.Add(2 * time.Second), TargetTime: now.Add(time.Second),
	}
}

func TestWorkAndReplyArriveAsTheyWere(t *testing.T) {
	var got *berylrequest.Request
	m, addr := pair(t, func(_ context.Context, w *berylrequest.Request) *berylreply.Reply {
		got = w
		return &berylreply.Reply{
			Outcome: berylattempt.Answered, Status: 201, Header: http.Header{"Beryl-Call": {w.ID}, "X-B": {"3"}}, Body: []byte("answer"), Length: 6,
			Busy: 4, Limit: 5, MeanServiceTime: 20 * time.Millisecond, QueueTime: 7 * time.Millisecond, HasLoad: true,
		}
	})
	for _, id := range []string{"1", "2"} {
		sent := work(id)
		out := m.Send(context.Background(), addr, sent)
		require.Equal(t, berylattempt.Answered, out.Outcome)
		require.Equal(t, 201, out.Status)
		require.Equal(t, http.Header{"Beryl-Call": {id}, "X-B": {"3"}}, out.Header)
		require.Equal(t, "answer", string(out.Body))
		require.Equal(t, []any{4, 5, 20 * time.Millisecond, 7 * time.Millisecond, true}, []any{out.Busy, out.Limit, out.MeanServiceTime, out.QueueTime, out.HasLoad})
		require.WithinDuration(t, sent.Deadline, got.Deadline, 50*time.Millisecond)
		require.WithinDuration(t, sent.TargetTime, got.TargetTime, 50*time.Millisecond)
		sent.Deadline, sent.TargetTime, got.Deadline, got.TargetTime = time.Time{}, time.Time{}, time.Time{}, time.Time{}
		delete(sent.Header, "Beryl-Call")
		require.Equal(t, sent, got)
	}
}

func TestRefusalsArrive(t *testing.T) {
	m, addr := pair(t, func(context.Context, *berylrequest.Request) *berylreply.Reply {
		out := berylreply.NewFailure(berylattempt.Unsent, berylreply.ReasonQueueFull)
		out.RetryAfter = 70 * time.Millisecond
		return out
	})
	out := m.Send(context.Background(), addr, work("1"))
	require.Equal(t, berylattempt.Unsent, out.Outcome)
	require.Equal(t, berylreply.ReasonQueueFull, out.Reason)
	require.Equal(t, 70*time.Millisecond, out.RetryAfter)
}

func TestLongBodiesAreStreamedBothWays(t *testing.T) {
	long := strings.Repeat("x", 300<<10)
	m, addr := pair(t, func(_ context.Context, w *berylrequest.Request) *berylreply.Reply {
		rest, err := io.ReadAll(w.Stream)
		if err != nil {
			return berylreply.NewFailure(berylattempt.Unknown, berylreply.ReasonConnectionBroken)
		}
		return &berylreply.Reply{Outcome: berylattempt.Answered, Status: 200, Header: http.Header{}, Body: w.Body, Stream: io.NopCloser(bytes.NewReader(rest)), Length: int64(len(rest))}
	})
	for range 2 {
		w := work("1")
		w.Body, w.Stream, w.Length = []byte(long[:1000]), strings.NewReader(long[1000:]), int64(len(long))
		out := m.Send(context.Background(), addr, w)
		require.Equal(t, berylattempt.Answered, out.Outcome)
		require.Equal(t, int64(len(long)), out.Length)
		body, err := io.ReadAll(out.Reader())
		require.NoError(t, err)
		require.Equal(t, long, string(body))
		out.Close()
	}
}

type half struct{ io.Reader }

func (h half) Read(p []byte) (int, error) {
	n, err := h.Reader.Read(p)
	if err != nil {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

func TestAnAnswerThatBreaksOffIsNotWhole(t *testing.T) {
	m, addr := pair(t, func(context.Context, *berylrequest.Request) *berylreply.Reply {
		return &berylreply.Reply{Outcome: berylattempt.Answered, Status: 200, Header: http.Header{}, Stream: io.NopCloser(half{strings.NewReader("part")}), Length: -1}
	})
	out := m.Send(context.Background(), addr, work("1"))
	require.Equal(t, berylattempt.Answered, out.Outcome)
	_, err := io.ReadAll(out.Reader())
	require.Error(t, err)
}

func TestGivingUpCancelsTheWork(t *testing.T) {
	ended := make(chan struct{})
	m, addr := pair(t, func(ctx context.Context, _ *berylrequest.Request) *berylreply.Reply {
		<-ctx.Done()
		close(ended)
		return berylreply.NewFailure(berylattempt.Unknown, berylreply.ReasonCanceled)
	})
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
	defer cancel()
	out := m.Send(ctx, addr, work("1"))
	require.Equal(t, berylattempt.Unknown, out.Outcome)
	require.Equal(t, berylreply.ReasonCanceled, out.Reason)
	select {
	case <-ended:
	case <-time.After(500 * time.Millisecond):
		t.Fatal("the work went on")
	}
}

func TestNoInstanceMeansNotSent(t *testing.T) {
	m := New(berylnames.Default())
	require.Equal(t, berylattempt.Unsent, m.Send(context.Background(), "127.0.0.1:1", work("1")).Outcome)
}

func TestBytesThatAreNoMessageEndTheLane(t *testing.T) {
	_, addr := pair(t, func(context.Context, *berylrequest.Request) *berylreply.Reply {
		t.Error("ran")
		return berylreply.NewFailure(berylattempt.Unsent, berylreply.ReasonQueueFull)
	})
	for _, s := range []string{"GET / HTTP/1.1\r\n\r\n", "\x00\x00\x00\x01\x00\x00\x00\x00\xff", "\x00\x00\x00\x00\x00\x00\x00\x00", "\xff\xff\xff\xff\xff\xff\xff\xff"} {
		c, err := net.Dial("tcp", addr)
		require.NoError(t, err)
		_, err = io.WriteString(c, s)
		require.NoError(t, err)
		require.NoError(t, c.SetReadDeadline(time.Now().Add(time.Second)))
		_, err = c.Read(make([]byte, 1))
		require.Error(t, err)
		require.NotContains(t, err.Error(), "timeout")
		require.NoError(t, c.Close())
	}
}

// FuzzMessage feeds bytes to the reader of messages.
func FuzzMessage(f *testing.F) {
	f.Add([]byte("\x00\x00\x00\x00\x00\x00\x00\x00"))
	f.Add([]byte("\x00\x00\x00\x03\x00\x00\x00\x01\x10\x00\x00x"))
	m := New(berylnames.Default())
	f.Fuzz(func(_ *testing.T, data []byte) {
		a, b := net.Pipe()
		go func() {
			_, _ = a.Write(data)
			_ = a.Close()
		}()
		w, err := m.work(newLane(b))
		if err == nil && w.Stream != nil {
			_, _ = io.Copy(io.Discard, w.Stream)
		}
		_ = b.Close()
	})
}
