package berylhttpserver

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const answerTime = 300 * time.Millisecond

// drainAndClose is a stop with the given time for what runs.
func drainAndClose(s *Server, timeout time.Duration) {
	s.Drain(timeout, answerTime)
	s.Close()
}

// At the end of a stop, answers that were ready behind one that was not were discarded.
func TestReadyAnswerBehindSlowOneIsLostAtStop(t *testing.T) {
	s, reported, dial := startReportingServer(t, func(ctx context.Context, r *Request) *Answer {
		if r.Path == "/slow" {
			<-ctx.Done()
			return &Answer{Status: http.StatusGatewayTimeout, Header: http.Header{}}
		}
		return textAnswer("ready")
	})
	c := dial()
	_, err := io.WriteString(c, "GET /slow HTTP/1.1\r\nHost: h\r\n\r\nGET /ready HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return s.Busy() == 2 }, time.Second, time.Millisecond)
	go drainAndClose(s, 100*time.Millisecond)
	require.Equal(t, []string{"504 ", "200 ready"}, readAnswers(t, c, 2))
	require.Empty(t, reported.all())
}

func TestEndOfRequestWhenTimeOfStopIsOver(t *testing.T) {
	const slow = "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n"
	for _, c := range []struct {
		name, send string
		busy       int
		want       []string
	}{
		{"running: cancelled, its answer is written", slow, 1, []string{"504 "}},
		{"ready behind a running one: answered in order", slow + "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n", 3, []string{"504 ", "200 /1", "200 /2"}},
		{"waiting for its turn: refused, not started", slow + "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n", 3, []string{"504 ", "503 refused /1", "200 /2"}},
		{"body arriving: refused, not started", "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\npart", 1, []string{"503 refused /1"}},
		{"body arriving behind a running one: refused, not started", slow + "PUT /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\npart", 2, []string{"504 ", "503 refused /1"}},
		{"waiting to ask for its body: refused, not started", slow + "PUT /1 HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 10\r\n\r\n", 2, []string{"504 ", "503 refused /1"}},
		{"streamed body arriving: cancelled, its answer is written", "PUT /slow HTTP/1.1\r\nHost: h\r\nContent-Length: 200000\r\n\r\n" + strings.Repeat("a", 100000), 1, []string{"504 "}},
		{"header arriving behind a running one: refused", slow + "GET /1 HTTP/1.1\r\nHost:", 1, []string{"504 ", "503 "}},
		{"header arriving: refused", "GET /1 HTTP/1.1\r\nHost:", 0, []string{"503 "}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var started sync.Map
			s, reported, dial := startReportingServer(t, func(ctx context.Context, r *Request) *Answer {
				started.Store(r.Path, true)
				if r.Path != "/slow" {
					return textAnswer(r.Path)
				}
				<-ctx.Done()
				require.ErrorIs(t, context.Cause(ctx), ErrStopping)
				return &Answer{Status: http.StatusGatewayTimeout, Header: http.Header{}}
			}, Refuse(func(r *Request) *Answer {
				_, ok := started.Load(r.Path)
				require.False(t, ok, "%s was started and refused", r.Path)
				return &Answer{Status: http.StatusServiceUnavailable, Header: http.Header{}, Body: []byte("refused " + r.Path)}
			}))
			nc := dial()
			_, err := io.WriteString(nc, c.send)
			require.NoError(t, err)
			require.Eventually(t, func() bool { return s.Busy() == c.busy }, time.Second, time.Millisecond)
			time.Sleep(20 * time.Millisecond) // for the part of the last request that can be read
			go drainAndClose(s, 100*time.Millisecond)
			require.Equal(t, c.want, readAnswers(t, nc, len(c.want)))
			_, err = nc.Read(make([]byte, 1))
			require.ErrorIs(t, err, io.EOF)
			require.Empty(t, reported.all())
		})
	}
}

func TestStopLetsStreamedAnswerGoOnUntilAnswersMustBeWritten(t *testing.T) {
	for _, c := range []struct {
		name     string
		rest     time.Duration // when the rest of the body comes, after the stop began
		complete bool
	}{
		{"its end comes in time", 200 * time.Millisecond, true},
		{"its end comes too late", 2 * time.Second, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			body, source := io.Pipe()
			s, reported, dial := startReportingServer(t, func(ctx context.Context, _ *Request) *Answer {
				context.AfterFunc(ctx, func() { _ = source.CloseWithError(ctx.Err()) })
				return &Answer{Status: 200, Header: http.Header{}, Stream: body, Length: -1}
			})
			nc := dial()
			_, err := io.WriteString(nc, "GET / HTTP/1.1\r\nHost: h\r\nId: 1\r\n\r\n")
			require.NoError(t, err)
			_, err = io.WriteString(source, "first")
			require.NoError(t, err)
			go drainAndClose(s, 100*time.Millisecond)
			time.AfterFunc(c.rest, func() {
				_, _ = io.WriteString(source, "rest") // Fails if the request has been cancelled.
				_ = source.Close()
			})
			resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
			require.NoError(t, err)
			got, err := io.ReadAll(resp.Body)
			if c.complete {
				require.NoError(t, err)
				require.Equal(t, "firstrest", string(got))
				require.Empty(t, reported.all())
				return
			}
			require.Error(t, err, "the answer must not look complete")
			require.Equal(t, []string{"1 h/: caller"}, reported.all())
		})
	}
}

// A request whose header was whole only after the time of a stop was over got a 503 without its
// id.
func TestRequestWhoseHeaderIsWholeJustAfterStopIsRefusedAsItself(t *testing.T) {
	const rest = "/1 HTTP/1.1\r\nHost: h\r\nId: 1\r\n\r\n"
	s, reported, dial := startReportingServer(t, func(_ context.Context, r *Request) *Answer {
		return textAnswer(r.Path)
	}, Refuse(func(r *Request) *Answer {
		return &Answer{Status: http.StatusServiceUnavailable, Header: http.Header{}, Body: []byte("refused " + r.Header.Get("Id"))}
	}))
	nc := dial()
	_, err := io.WriteString(nc, "GET ")
	require.NoError(t, err)
	var c *conn
	require.Eventually(t, func() bool {
		s.eachConn(func(other *conn) { c = other })
		if c == nil {
			return false
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.arriving
	}, time.Second, time.Millisecond)
	c.endWork(time.Now().Add(4 * time.Second))
	time.Sleep(20 * time.Millisecond) // The reader would notice the end of the work.
	_, err = io.WriteString(nc, rest)
	require.NoError(t, err)
	require.Equal(t, []string{"503 refused 1"}, readAnswers(t, nc, 1))
	require.Empty(t, reported.all())
}

func TestStopEndsWhileCallerDoesNotReadItsAnswer(t *testing.T) {
	long := textAnswer(strings.Repeat("a", 64<<20)) // Making it may take longer than the stop.
	s, reported, dial := startReportingServer(t, func(_ context.Context, r *Request) *Answer {
		if r.Path == "/long" {
			return long
		}
		return textAnswer("ready")
	})
	nc := dial()
	_, err := io.WriteString(nc, "GET /long HTTP/1.1\r\nHost: h\r\nId: 1\r\n\r\nGET /ready HTTP/1.1\r\nHost: h\r\nId: 2\r\n\r\n")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return s.Busy() == 2 }, time.Second, time.Millisecond)
	start := time.Now()
	drainAndClose(s, 100*time.Millisecond)
	require.GreaterOrEqual(t, time.Since(start), 100*time.Millisecond+answerTime)
	require.Less(t, time.Since(start), time.Second+answerTime)
	require.Subset(t, []string{"1 h/long: caller", "2 h/ready: earlier answer", "2 h/ready: caller"}, reported.all())
	require.Len(t, reported.all(), 2)
}

// A request that arrived after the last answer of its connection was passed on and never
// answered.
func TestRequestBehindLastAnswerIsPassedOn(t *testing.T) {
	for _, c := range []struct {
		name  string
		first string
		stop  func(s *Server)
	}{
		{"stop", "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n", (*Server).DisableKeepAlives},
		{"answer that closes", "GET /close HTTP/1.1\r\nHost: h\r\n\r\n", func(*Server) {}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var handled sync.Map
			s, _, dial := startReportingServer(t, func(_ context.Context, r *Request) *Answer {
				handled.Store(r.Path, true)
				a := textAnswer("ok")
				a.Close = r.Path == "/close"
				return a
			})
			nc := dial()
			c.stop(s)
			_, err := io.WriteString(nc, c.first)
			require.NoError(t, err)
			require.Equal(t, []string{"200 ok"}, readAnswers(t, nc, 1))
			_, err = io.WriteString(nc, "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n")
			require.NoError(t, err)
			rest, err := io.ReadAll(nc)
			require.NoError(t, err)
			require.Empty(t, rest)
			time.Sleep(50 * time.Millisecond)
			_, ok := handled.Load("/2")
			require.False(t, ok, "the request was passed on, its connection had ended")
		})
	}
}

func TestLastAnswerCancelsRequestsThatRunBehindIt(t *testing.T) {
	started, canceled := make(chan struct{}), make(chan struct{})
	s, _, dial := startReportingServer(t, func(ctx context.Context, r *Request) *Answer {
		if r.Path == "/2" {
			close(started)
			<-ctx.Done()
			close(canceled)
			return &Answer{Abort: true}
		}
		<-started
		a := textAnswer("ok")
		a.Close = true
		return a
	})
	nc := dial()
	_, err := io.WriteString(nc, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	require.Equal(t, []string{"200 ok"}, readAnswers(t, nc, 1))
	select {
	case <-canceled:
	case <-time.After(time.Second):
		t.Fatal("the request was not cancelled within 1 s after the last answer")
	}
	require.Eventually(t, func() bool { return s.Busy() == 0 }, time.Second, time.Millisecond)
}

// A request that had begun to arrive when the last one before it was answered got no answer.
func TestArrivingRequestIsCutByLastAnswerBeforeIt(t *testing.T) {
	for _, c := range []struct {
		name, part, rest string
	}{
		{"header", "GET /2 HTTP/1.1\r\nHost", ": h\r\n\r\n"},
		{"body", "PUT /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbo", "dy"},
	} {
		t.Run(c.name, func(t *testing.T) {
			release := make(chan struct{})
			s, reported, dial := startReportingServer(t, func(_ context.Context, r *Request) *Answer {
				if r.Path == "/1" {
					<-release
				}
				return textAnswer(r.Path)
			})
			nc := dial()
			_, err := io.WriteString(nc, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"+c.part)
			require.NoError(t, err)
			require.Eventually(t, func() bool { return s.Busy() > 0 }, time.Second, time.Millisecond)
			time.Sleep(20 * time.Millisecond) // for the part of the second request
			s.DisableKeepAlives()
			close(release)
			time.Sleep(20 * time.Millisecond) // for the first answer
			_, err = io.WriteString(nc, c.rest)
			require.NoError(t, err)
			require.Equal(t, []string{"200 /1", "200 /2"}, readAnswers(t, nc, 2))
			_, err = nc.Read(make([]byte, 1))
			require.ErrorIs(t, err, io.EOF)
			require.Empty(t, reported.all())
		})
	}
}

// gatedConn is a connection whose reader gets no processor time before or after it reads,
// until gate is closed.
type gatedConn struct {
	*net.TCPConn
	gate      chan struct{}
	readFirst bool
}

func (c gatedConn) Read(p []byte) (int, error) {
	if c.readFirst {
		defer func() { <-c.gate }()
	} else {
		<-c.gate
	}
	return c.TCPConn.Read(p)
}

// A request that had arrived but was not yet looked at was cut when the time of its
// connection was over.
func TestArrivedRequestIsCutBeforeItIsLookedAt(t *testing.T) {
	const idleTimeout = 100 * time.Millisecond
	for _, c := range []struct {
		name      string
		end       func(s *Server)
		readFirst bool
		needed    bool // while it stops
	}{
		{"idle timeout, bytes unread", func(*Server) { time.Sleep(2 * idleTimeout) }, false, false},
		{"idle timeout, bytes read", func(*Server) { time.Sleep(2 * idleTimeout) }, true, false},
		{"stop, bytes unread", func(s *Server) { go s.Drain(time.Second, answerTime) }, false, false},
		{"stop, bytes read", func(s *Server) { go s.Drain(time.Second, answerTime) }, true, false},
		{"stop while needed, bytes unread", func(s *Server) { go s.Drain(time.Second, answerTime) }, false, true},
		{"stop while needed, bytes read", func(s *Server) { go s.Drain(time.Second, answerTime) }, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			tcp, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer func() { _ = tcp.Close() }()
			ln := make(pipeListener)
			s := New(ln, func(context.Context, *Request) *Answer { return textAnswer("ok") }, func(*Request) bool { return false }, func() Limits {
				limits := testLimits()
				limits.IdleTimeout = idleTimeout
				return limits
			}, ServeWhileStopping(func() bool { return c.needed }, func(*Request) bool { return false }))
			go s.Run(context.Background())
			defer func() { close(ln); s.Close() }()
			client, err := net.Dial("tcp", tcp.Addr().String())
			require.NoError(t, err)
			defer func() { _ = client.Close() }()
			accepted, err := tcp.Accept()
			require.NoError(t, err)
			gate := make(chan struct{})
			ln <- gatedConn{TCPConn: accepted.(*net.TCPConn), gate: gate, readFirst: c.readFirst} //nolint:forcetypeassert // Of a TCP listener.
			_, err = io.WriteString(client, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			require.NoError(t, err)
			time.Sleep(20 * time.Millisecond)
			c.end(s)
			time.Sleep(30 * time.Millisecond)
			close(gate)
			require.Equal(t, []string{"200 ok"}, readAnswers(t, client, 1))
		})
	}
}

// gatedListener is a listener whose accept loop gets no processor time after a connection
// was accepted, until gate is closed.
type gatedListener struct {
	net.Listener
	accepted, gate chan struct{}
}

func (l gatedListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err == nil {
		close(l.accepted)
		<-l.gate
	}
	return nc, err
}

// A stop was over before a connection that it had accepted was served.
func TestStopMissesConnectionThatWasJustAccepted(t *testing.T) {
	for _, c := range []struct {
		name string
		stop func(s *Server)
		want string
	}{
		{"drain: its request is answered", func(s *Server) { drainAndClose(s, 2*time.Second) }, "HTTP/1.1 200"},
		{"close: it is closed", (*Server).Close, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			tcp, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			ln := gatedListener{Listener: tcp, accepted: make(chan struct{}), gate: make(chan struct{})}
			var handling atomic.Int32
			s := New(ln, func(context.Context, *Request) *Answer {
				handling.Add(1)
				defer handling.Add(-1)
				time.Sleep(50 * time.Millisecond)
				return textAnswer("ok")
			}, func(*Request) bool { return false }, testLimits)
			go s.Run(context.Background())
			client, err := net.Dial("tcp", tcp.Addr().String())
			require.NoError(t, err)
			defer func() { _ = client.Close() }()
			_, err = io.WriteString(client, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			require.NoError(t, err)
			<-ln.accepted
			time.AfterFunc(50*time.Millisecond, func() { close(ln.gate) })
			c.stop(s)
			time.Sleep(70 * time.Millisecond)
			require.Zero(t, handling.Load(), "requests that are handled after the stop")
			require.NoError(t, client.SetReadDeadline(time.Now().Add(time.Second)))
			answer, err := io.ReadAll(client)
			require.NotErrorIs(t, err, os.ErrDeadlineExceeded)
			require.True(t, strings.HasPrefix(string(answer), c.want), "got %q", answer)
		})
	}
}

// A request whose body was malformed took the answers to the requests before it with it.
func TestUnreadableBodyCutsEarlierRequests(t *testing.T) {
	for _, c := range []struct {
		name, second, want string
	}{
		{"malformed", "PUT /2 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n", "400 "},
		{"too long", "PUT /2 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + "8000\r\n" + strings.Repeat("a", 0x8000) + "\r\n", "413 "},
	} {
		t.Run(c.name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			s := New(ln, func(context.Context, *Request) *Answer {
				time.Sleep(100 * time.Millisecond)
				return textAnswer("ok")
			}, func(*Request) bool { return false }, func() Limits {
				limits := testLimits()
				limits.MaxBodyBytes = 1000
				return limits
			})
			go s.Run(context.Background())
			defer s.Close()
			nc, err := net.Dial("tcp", ln.Addr().String())
			require.NoError(t, err)
			defer func() { _ = nc.Close() }()
			_, err = io.WriteString(nc, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"+c.second)
			require.NoError(t, err)
			require.Equal(t, []string{"200 ok", c.want}, readAnswers(t, nc, 2))
		})
	}
}

// A request whose body came late in a stop was started when its answer could no longer come.
func TestRequestWhoseBodyComesLateInStopIsStarted(t *testing.T) {
	const (
		work  = 2 * time.Second // time of the stop for what runs
		early = 100 * time.Millisecond
		late  = 800 * time.Millisecond
	)
	part := strings.Repeat("a", 1000)
	long := strings.Repeat("a", maxBufferedBody)
	for _, c := range []struct {
		name, send, rest string
		delay            time.Duration // of the rest, after the stop began
		busy             int
		started          string // path of the request that is started before the stop
		want             []string
	}{
		{"whole in time: run", "PUT /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 2000\r\n\r\n" + part, part, early, 1, "", []string{"200 /1"}},
		{"late: refused", "PUT /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 2000\r\n\r\n" + part, part, late, 1, "", []string{"503 refused /1"}},
		{"late behind a running one: refused", "GET /slow HTTP/1.1\r\nHost: h\r\n\r\nPUT /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 2000\r\n\r\n" + part, part, late, 2, "/slow", []string{"200 /slow", "503 refused /1"}},
		{"long and late: is passed on while it arrives", "PUT /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 66536\r\n\r\n" + long, part, late, 1, "/1", []string{"200 /1"}},
		{"long and late behind a running one, before which it must not run: refused", "GET /slow HTTP/1.1\r\nHost: h\r\n\r\nPOST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 66536\r\n\r\n" + long, part, late, 2, "/slow", []string{"200 /slow", "503 refused /1"}},
		{"whole behind a running one, before which it must not run: run", "GET /slow HTTP/1.1\r\nHost: h\r\n\r\nPOST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n", "", 0, 2, "/slow", []string{"200 /slow", "200 /1"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var started sync.Map
			s, reported, dial := startReportingServer(t, func(_ context.Context, r *Request) *Answer {
				started.Store(r.Path, true)
				if r.Path == "/slow" {
					time.Sleep(late)
				}
				if r.Stream != nil {
					_, err := io.Copy(io.Discard, r.Stream)
					require.NoError(t, err)
				}
				return textAnswer(r.Path)
			}, Refuse(func(r *Request) *Answer {
				_, ok := started.Load(r.Path)
				require.False(t, ok, "%s was started and refused", r.Path)
				return &Answer{Status: http.StatusServiceUnavailable, Header: http.Header{}, Body: []byte("refused " + r.Path)}
			}))
			nc := dial()
			_, err := io.WriteString(nc, c.send)
			require.NoError(t, err)
			require.Eventually(t, func() bool { return s.Busy() == c.busy }, time.Second, time.Millisecond)
			require.Eventually(t, func() bool {
				_, ok := started.Load(c.started)
				return ok || c.started == ""
			}, time.Second, time.Millisecond)
			start := time.Now()
			go drainAndClose(s, work)
			time.AfterFunc(c.delay, func() { _, _ = io.WriteString(nc, c.rest) }) // Its caller may have gone elsewhere.
			require.Equal(t, c.want, readAnswers(t, nc, len(c.want)))
			require.Less(t, time.Since(start), work)
			_, err = nc.Read(make([]byte, 1))
			require.ErrorIs(t, err, io.EOF)
			require.Empty(t, reported.all())
		})
	}
}

// A request with a long body of which the first part came in a stop was passed on, and its
// server had too little time left for it.
func TestLongBodyThatBeginsToComeInStopIsPassedOn(t *testing.T) {
	for _, c := range []struct {
		name   string
		before int // bytes of the body that come before the stop
		want   []string
	}{
		{"first part came before the stop: passed on", maxBufferedBody, []string{"200 /1"}},
		{"first part comes in the stop: refused", 1000, []string{"503 "}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			const length = 2 * maxBufferedBody
			started := make(chan struct{})
			s, reported, dial := startReportingServer(t, func(_ context.Context, r *Request) *Answer {
				close(started)
				n, err := io.Copy(io.Discard, r.Stream)
				require.NoError(t, err)
				require.Equal(t, int64(length-maxBufferedBody), n)
				return textAnswer(r.Path)
			})
			nc := dial()
			body := strings.Repeat("a", length)
			_, err := fmt.Fprintf(nc, "PUT /1 HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", length, body[:c.before])
			require.NoError(t, err)
			require.Eventually(t, func() bool { return s.Busy() == 1 }, time.Second, time.Millisecond)
			if c.before == maxBufferedBody {
				<-started
			}
			go drainAndClose(s, 2*time.Second)
			time.Sleep(100 * time.Millisecond)
			_, err = io.WriteString(nc, body[c.before:])
			require.NoError(t, err)
			require.Equal(t, c.want, readAnswers(t, nc, 1))
			require.Empty(t, reported.all())
		})
	}
}

// The answer before it gave a request that was arriving the idle timeout instead of its own.
func TestHeaderTimeoutIsReplacedByIdleTimeout(t *testing.T) {
	_, dial := startServer(t, func(context.Context, *Request) *Answer {
		time.Sleep(50 * time.Millisecond)
		return textAnswer("ok")
	})
	nc := dial()
	_, err := io.WriteString(nc, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost:")
	require.NoError(t, err)
	require.Equal(t, []string{"200 ok", "408 "}, readAnswers(t, nc, 2))
}
