package berylhttpserver

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"berylspan/core/berylconnectionlimit"
	"berylspan/core/berylmemorybudget"
	"berylspan/io/berylmemory"

	"github.com/stretchr/testify/require"
)

// limitedServer records what is done about callers beyond a limit.
type limitedServer struct {
	*Server
	memory *berylmemory.Memory
	mu     sync.Mutex
	kinds  map[Limited]int
}

func (s *limitedServer) count(l Limited) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.kinds[l]
}

func startLimitedServer(t *testing.T, limits berylmemorybudget.Limits, conns berylconnectionlimit.Limit, handle func(context.Context, *Request) *Answer) (*limitedServer, func() net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &limitedServer{memory: berylmemory.New(limits), kinds: map[Limited]int{}}
	face := testLimits()
	face.MaxHeaderBytes, face.MaxHeaderLines, face.HeaderTimeout = 16<<10, 100, 10*time.Second
	s.Server = New(ln, handle, func(*Request) bool { return false }, func() Limits { return face }, Memory(s.memory),
		Connections(func() berylconnectionlimit.Limit { return conns }), OnLimited(func(l Limited) {
			s.mu.Lock()
			s.kinds[l]++
			s.mu.Unlock()
		}))
	return s, runServer(t, s.Server, ln)
}

func send(t *testing.T, c net.Conn, s string) {
	t.Helper()
	_, err := io.WriteString(c, s)
	require.NoError(t, err)
}

const plainRequest = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"

func requestOfLines(n int) string {
	return "GET /a HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", n) + "\r\n"
}

func TestRequestWithTooManyHeaderLinesIsRefused(t *testing.T) {
	s, dial := startLimitedServer(t, berylmemorybudget.Limits{}, berylconnectionlimit.Limit{}, func(context.Context, *Request) *Answer { return textAnswer("ok") })
	c := dial()
	send(t, c, requestOfLines(97)) // Beside them the request line, Host and the empty line.
	require.Equal(t, []string{"200 ok"}, readAnswers(t, c, 1))
	send(t, c, requestOfLines(98))
	require.Equal(t, []string{"431 "}, readAnswers(t, c, 1))
	require.Equal(t, 1, s.count(LimitedHeaderLines))
}

func TestReadingAheadWaitsForAnswersWhenMuchIsHeld(t *testing.T) {
	release := make(chan struct{})
	var started atomic.Int32
	_, dial := startLimitedServer(t, berylmemorybudget.Limits{Conn: 4 * berylmemorybudget.RequestCost}, berylconnectionlimit.Limit{}, func(context.Context, *Request) *Answer {
		started.Add(1)
		<-release
		return textAnswer("ok")
	})
	c := dial()
	send(t, c, strings.Repeat(plainRequest, 20))
	time.Sleep(100 * time.Millisecond)
	require.LessOrEqual(t, started.Load(), int32(4))
	close(release)
	require.Len(t, readAnswers(t, c, 20), 20)
}

func TestRequestThatFindsNoMemoryIsRefusedAndNotStarted(t *testing.T) {
	var started atomic.Int32
	s, dial := startLimitedServer(t, berylmemorybudget.Limits{Total: 64 << 10}, berylconnectionlimit.Limit{}, func(context.Context, *Request) *Answer {
		started.Add(1)
		return textAnswer("ok")
	})
	for name, request := range map[string]string{
		"for its head": "GET /a HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a: "+strings.Repeat("v", 1000)+"\r\n", 15) + "\r\n" + strings.Repeat(plainRequest, 5),
		"for its body": "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 60000\r\n\r\n" + strings.Repeat("b", 60000),
	} {
		before := s.count(LimitedMemory)
		held := s.memory.Open("", nil)
		require.True(t, held.Charge(30<<10))
		c := dial()
		go func() { _, _ = io.WriteString(c, request) }() // The connection may be closed before all is sent.
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err, name)
		require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode, name)
		require.NotEmpty(t, resp.Header.Get("Retry-After"), name)
		require.True(t, resp.Close, name)
		require.Equal(t, before+1, s.count(LimitedMemory), name)
		held.Close()
	}
	require.Zero(t, started.Load())
}

func TestConnectionThatHoldsMostIsClosedForAnOrdinaryRequest(t *testing.T) {
	started := make(chan struct{})
	s, dial := startLimitedServer(t, berylmemorybudget.Limits{Total: 128 << 10}, berylconnectionlimit.Limit{}, func(ctx context.Context, r *Request) *Answer {
		if len(r.Body) > 0 {
			close(started)
			<-ctx.Done()
		}
		return textAnswer("ok")
	})
	heavy := dial()
	send(t, heavy, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 55000\r\n\r\n"+strings.Repeat("b", 55000))
	<-started
	require.Greater(t, s.memory.Held(), int64(55000))
	fill := s.memory.Open("", nil)
	require.True(t, fill.Charge(128<<10-s.memory.Held()))
	c := dial()
	send(t, c, plainRequest)
	require.Equal(t, []string{"200 ok"}, readAnswers(t, c, 1))
	require.Equal(t, 1, s.count(LimitedHeaviest))
	_, err := heavy.Read(make([]byte, 1))
	require.Error(t, err)
	fill.Close()
	require.Eventually(t, func() bool { return s.memory.Held() == 0 && s.Busy() == 0 }, 5*time.Second, time.Millisecond)
}

func TestAnswersThatWaitForUnreadOnesAreBounded(t *testing.T) {
	const answerSize = 50 << 10
	s, dial := startLimitedServer(t, berylmemorybudget.Limits{Total: 1 << 20}, berylconnectionlimit.Limit{}, func(context.Context, *Request) *Answer {
		return textAnswer(strings.Repeat("x", answerSize))
	})
	for range 20 {
		c := dial()
		require.NoError(t, c.(*net.TCPConn).SetReadBuffer(4<<10))
		send(t, c, strings.Repeat(plainRequest, 64))
	}
	for range 20 {
		require.LessOrEqual(t, s.memory.Held(), int64(1<<20))
		time.Sleep(10 * time.Millisecond)
	}
	c := dial()
	send(t, c, plainRequest)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
}

func TestIdleAndSlowConnectionsAreClosedForNewOnes(t *testing.T) {
	s, dial := startLimitedServer(t, berylmemorybudget.Limits{}, berylconnectionlimit.Limit{Soft: 10, Hard: 20}, func(context.Context, *Request) *Answer { return textAnswer("ok") })
	slowHead, slowBody := dial(), dial()
	send(t, slowHead, "GET /a HTTP/1.1\r\nHo")
	send(t, slowBody, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nb")
	time.Sleep(1100 * time.Millisecond) // They are slow then.
	var idle []net.Conn
	for range 8 {
		idle = append(idle, dial())
		time.Sleep(time.Millisecond)
	}
	for range 10 {
		c := dial()
		send(t, c, plainRequest)
		require.Equal(t, []string{"200 ok"}, readAnswers(t, c, 1))
		time.Sleep(time.Millisecond)
	}
	require.NoError(t, idle[0].SetReadDeadline(time.Now().Add(time.Second)))
	_, err := idle[0].Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	require.Positive(t, s.count(LimitedIdle))
	require.Zero(t, s.count(LimitedSlow), "idle ones are closed first")

	// Only the slow ones are left to be closed for connections that are in use.
	for range 12 {
		send(t, dial(), "GET /a HTTP/1.1\r\nHo")
		time.Sleep(time.Millisecond)
	}
	require.Equal(t, []string{"408 "}, readAnswers(t, slowHead, 1))
	require.Equal(t, []string{"408 "}, readAnswers(t, slowBody, 1))
	require.Positive(t, s.count(LimitedSlow))
}

func TestNewConnectionIsRefusedWhenAllAreInUse(t *testing.T) {
	release := make(chan struct{})
	s, dial := startLimitedServer(t, berylmemorybudget.Limits{}, berylconnectionlimit.Limit{Soft: 2, Hard: 4}, func(context.Context, *Request) *Answer {
		<-release
		return textAnswer("ok")
	})
	var used []net.Conn
	for i := range 3 {
		used = append(used, dial())
		send(t, used[i], plainRequest)
		require.Eventually(t, func() bool { return s.Busy() == i+1 }, 5*time.Second, time.Millisecond)
	}
	_, err := dial().Read(make([]byte, 1))
	require.Error(t, err)
	require.Equal(t, 1, s.count(LimitedNew))
	close(release)
	for _, c := range used {
		require.Equal(t, []string{"200 ok"}, readAnswers(t, c, 1))
	}
}

func TestDrainEndsConnectionsThatWaitToReadAhead(t *testing.T) {
	s, dial := startLimitedServer(t, berylmemorybudget.Limits{Conn: 2 * berylmemorybudget.RequestCost}, berylconnectionlimit.Limit{}, func(ctx context.Context, _ *Request) *Answer {
		select {
		case <-ctx.Done():
		case <-time.After(300 * time.Millisecond):
		}
		return textAnswer("ok")
	})
	c := dial()
	send(t, c, strings.Repeat(plainRequest, 5))
	require.Eventually(t, func() bool { return s.Busy() > 0 }, 5*time.Second, time.Millisecond)
	read := s.Busy()
	begin := time.Now()
	s.Drain(5*time.Second, time.Second)
	require.Less(t, time.Since(begin), 4*time.Second)
	for i, answer := range readAnswers(t, c, read) {
		require.Equal(t, "200 ok", answer, fmt.Sprint(i))
	}
	require.Zero(t, s.Busy())
}

func TestHoldChargesWhatIsKeptOfAStreamUntilTheAnswerIsWritten(t *testing.T) {
	var held []bool
	s, dial := startLimitedServer(t, berylmemorybudget.Limits{Total: 400 << 10}, berylconnectionlimit.Limit{}, func(_ context.Context, r *Request) *Answer {
		held = append(held, r.Hold(200<<10), r.Hold(200<<10))
		_, _ = io.Copy(io.Discard, r.Stream)
		return textAnswer("ok")
	})
	c := dial()
	send(t, c, "PUT /a HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n"+strings.Repeat("b", 100000))
	require.Equal(t, []string{"200 ok"}, readAnswers(t, c, 1))
	require.Equal(t, []bool{true, false}, held)
	require.Eventually(t, func() bool { return s.memory.Held() == 0 }, 5*time.Second, time.Millisecond)
}
