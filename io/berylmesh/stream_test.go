package berylmesh

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"berylspan/core/berylattempt"
	"berylspan/io/berylreply"
	"berylspan/io/berylrequest"

	"github.com/stretchr/testify/require"
)

// The instance handles a streamed request as soon as it has read the head. A write that
// failed after the head was reported as unsent, so that a request which must not run twice
// could be sent elsewhere.
func TestStreamedRequestIsUnknownOnceItsHeadWasWritten(t *testing.T) {
	for _, tc := range []struct {
		name    string
		stream  bool
		outcome berylattempt.Outcome
	}{
		{"streamed body", true, berylattempt.Unknown},
		{"whole body", false, berylattempt.Unsent},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			t.Cleanup(func() { _ = ln.Close() })
			m, _ := newPair(t, nil)
			req := newRequest("1")
			req.Body = make([]byte, 16<<20) // More than the socket buffers take.
			if tc.stream {
				req.Stream, req.Length = strings.NewReader("rest"), int64(len(req.Body)+4)
			}
			ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
			defer cancel()
			require.Equal(t, tc.outcome, m.Send(ctx, ln.Addr().String(), req).Outcome)
		})
	}
}

// slowReader yields a body of the given size slowly.
type slowReader struct{ left int }

func (r *slowReader) Read(p []byte) (int, error) {
	if r.left == 0 {
		return 0, io.EOF
	}
	time.Sleep(time.Millisecond)
	n := min(len(p), r.left)
	r.left -= n
	return n, nil
}

// The refusal of a request whose body is still being sent was lost when the connection was
// closed with unread bytes; the caller was told that its request may have run.
func TestRefusalArrivesWhileBodyIsSent(t *testing.T) {
	m, addr := newPair(t, func(context.Context, *berylrequest.Request) *berylreply.Reply {
		reply := berylreply.NewFailure(berylattempt.Unsent, berylreply.ReasonQueueFull)
		reply.RetryAfter = time.Second
		return reply
	})
	for _, size := range []int{100 << 10, 32 << 20} {
		for range 5 {
			req := newRequest("1")
			req.Body, req.Stream, req.Length = []byte("first"), &slowReader{size}, int64(size+5)
			reply := m.Send(context.Background(), addr, req)
			require.Equal(t, berylattempt.Unsent, reply.Outcome, "size %d", size)
			require.Equal(t, berylreply.ReasonQueueFull, reply.Reason)
			require.Equal(t, time.Second, reply.RetryAfter)
		}
	}
}

// A write deadline set for a streamed body failed later requests on the same connection.
func TestWriteDeadlineEndsWithItsBody(t *testing.T) {
	client, server := net.Pipe()
	t.Cleanup(func() { _, _ = client.Close(), server.Close() })
	go func() { _, _ = io.Copy(io.Discard, server) }()
	deadlines := &deadlineRecorder{Conn: client}
	require.NoError(t, newConn(deadlines).writeChunks(bytes.NewReader(make([]byte, 100))))
	require.True(t, deadlines.last.IsZero())
}

// lateEnd yields a body whose end comes some time after its last byte.
type lateEnd struct {
	io.Reader
	delay time.Duration
}

func (r *lateEnd) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if err != nil {
		time.Sleep(r.delay)
	}
	return n, err
}

// The end of a body was written with the deadline of its last byte.
func TestBodyWhoseEndComesLateIsCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, server := net.Pipe()
		written := make(chan error, 1)
		go func() {
			written <- newConn(client).writeChunks(&lateEnd{strings.NewReader("whole"), 2 * writeTimeout})
			_ = client.Close()
		}()
		body, err := io.ReadAll(&chunkReader{br: bufio.NewReader(server)})
		require.NoError(t, err)
		require.Equal(t, "whole", string(body))
		require.NoError(t, <-written)
	})
}

type deadlineRecorder struct {
	net.Conn
	last time.Time
}

func (d *deadlineRecorder) SetWriteDeadline(t time.Time) error {
	d.last = t
	return d.Conn.SetWriteDeadline(t)
}
