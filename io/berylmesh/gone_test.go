package berylmesh

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"berylspan/core/berylattempt"
	"berylspan/core/berylheadernames"
	"berylspan/io/berylreply"
	"berylspan/io/berylrequest"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// disconnect makes the kernel drop everything that arrives on a connection or listener
// unacknowledged, as if the other end could no longer reach this one.
func disconnect(t *testing.T, sc syscall.Conn) {
	t.Helper()
	raw, err := sc.SyscallConn()
	require.NoError(t, err)
	dropAll := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K}
	require.NoError(t, raw.Control(func(fd uintptr) {
		err = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &dropAll})
	}))
	require.NoError(t, err)
}

// gonePeer is an instance that answers requests until it can no longer be reached. Not every
// connection with a streamed request body is used again, so the next request may come on another.
type gonePeer struct {
	t  *testing.T
	ln net.Listener

	mu    sync.Mutex
	conns []net.Conn
}

func (p *gonePeer) serve(m *Mesh) {
	for {
		nc, err := p.ln.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		p.conns = append(p.conns, nc)
		p.mu.Unlock()
		go func() {
			c := newConn(nc)
			for {
				req, err := m.readRequest(c)
				if err != nil {
					return
				}
				if req.Stream != nil {
					_, _ = io.Copy(io.Discard, req.Stream)
				}
				_ = m.writeReply(c, req, &berylreply.Reply{Outcome: berylattempt.Answered, Status: 200, Header: http.Header{}})
			}
		}()
	}
}

func (p *gonePeer) disconnect() {
	p.mu.Lock()
	defer p.mu.Unlock()
	sc, ok := p.ln.(syscall.Conn)
	require.True(p.t, ok)
	disconnect(p.t, sc)
	for _, nc := range p.conns {
		sc, ok := nc.(syscall.Conn)
		require.True(p.t, ok)
		disconnect(p.t, sc)
	}
}

func (p *gonePeer) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, nc := range p.conns {
		_ = nc.Close()
	}
}

// endless yields bytes without end.
type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }
func (endless) Close() error               { return nil }

const maxDetection = 2 * tcpUserTimeout // of a peer that is gone

// A request to an instance that is gone must end long before its deadline.
func TestRequestToInstanceThatIsGoneEndsSoon(t *testing.T) {
	for _, tc := range []struct {
		name     string
		requests int       // that the instance answers before it is gone
		stream   bool      // whether these and the last one have a streamed body
		body     io.Reader // rest of the last body
		delay    time.Duration
	}{
		{"whole body", 1, false, nil, 0},
		{"whole body right after a streamed one", 1, true, nil, 0},
		{"whole body some time after a streamed one", 1, true, nil, 2 * ackCheckInterval},
		{"head of a streamed body", 1, false, &slowReader{1 << 20}, 0},
		{"streamed body", 1, true, endless{}, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			lc := &net.ListenConfig{Control: SetTCPUserTimeout}
			ln, err := lc.Listen(context.Background(), "tcp", "127.0.0.1:0")
			require.NoError(t, err)
			m := New(berylheadernames.Default())
			t.Cleanup(func() { _ = ln.Close(); m.Close() })
			peer := &gonePeer{t: t, ln: ln}
			t.Cleanup(peer.close)
			go peer.serve(m)
			for range tc.requests {
				req := newRequest("1")
				if tc.stream {
					req.Stream, req.Length = &slowReader{1 << 20}, -1
				}
				require.Equal(t, berylattempt.Answered, m.Send(context.Background(), ln.Addr().String(), req).Outcome)
			}
			peer.disconnect()
			time.Sleep(tc.delay)
			req := newRequest("2")
			if tc.body != nil {
				req.Stream, req.Length = tc.body, -1
			}
			start := time.Now()
			require.NotEqual(t, berylattempt.Answered, m.Send(context.Background(), ln.Addr().String(), req).Outcome)
			require.Less(t, time.Since(start), maxDetection)
		})
	}
}

// An answer to an instance that is gone must not take up the backend server for long.
func TestStreamedReplyToInstanceThatIsGoneEndsSoon(t *testing.T) {
	ended := make(chan time.Time, 1)
	m, addr := newListeningPair(t, func(context.Context, *berylrequest.Request) *berylreply.Reply {
		return &berylreply.Reply{Outcome: berylattempt.Answered, Status: 200, Header: http.Header{}, Length: -1, Stream: closeRecorder{ended}}
	})
	nc, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	t.Cleanup(func() { _ = nc.Close() })
	c := newConn(nc)
	_, err = m.writeRequest(c, newRequest("1"))
	require.NoError(t, err)
	reply, err := m.readReply(c, "1")
	require.NoError(t, err)
	_, err = io.CopyN(io.Discard, reply.Reader(), 100<<10)
	require.NoError(t, err)
	go func() { _, _ = io.Copy(io.Discard, reply.Reader()) }() // Keeps the window open.
	sc, ok := nc.(syscall.Conn)
	require.True(t, ok)
	disconnect(t, sc)
	require.WithinDuration(t, time.Now(), <-ended, maxDetection)
}

// closeRecorder is an endless body that tells when it is closed.
type closeRecorder struct{ closed chan time.Time }

func (closeRecorder) Read(p []byte) (int, error) {
	time.Sleep(time.Millisecond)
	return min(len(p), 1<<10), nil
}

func (r closeRecorder) Close() error { r.closed <- time.Now(); return nil }
