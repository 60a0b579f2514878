package berylechoclient_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"berylspan/core/berylexchange"
	"berylspan/core/beryloutcome"
	"berylspan/io/berylechoclient"
	"berylspan/io/berylheader"
	"berylspan/io/berylrelay"
	"berylspan/io/beryltransport"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"
)

// answerer returns what the server writes on a connection when it has read a request.
type answerer func(id, body string) string

// startAnswering starts a server that uses an answerer of its own for each connection. It counts
// the connections.
func startAnswering(t *testing.T, newAnswerer func() answerer) (addr string, conns *atomic.Int32) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	conns = &atomic.Int32{}
	serve := func(c net.Conn) {
		defer func() { _ = c.Close() }()
		br, answer := bufio.NewReader(c), newAnswerer()
		for {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			body, err := io.ReadAll(r.Body)
			if err != nil {
				return
			}
			if _, err := io.WriteString(c, answer(r.Header.Get(berylheader.Call), string(body))); err != nil {
				return
			}
		}
	}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			conns.Add(1)
			go serve(c)
		}
	}()
	return ln.Addr().String(), conns
}

// response returns a response to the call with the id.
func response(id string, status int, header, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Type: application/json\r\n%s: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, berylheader.Call, id, header, len(body), body)
}

// caller makes calls by way of a relay and a client of its own.
type caller struct {
	relay *berylrelay.Relay
	addr  string
}

func newCaller(t *testing.T, addr string) *caller {
	t.Helper()
	c := berylechoclient.New(beryltransport.NetDial(), berylheader.Call)
	t.Cleanup(c.CloseIdleConnections)
	return &caller{relay: berylrelay.New(c, "http", 1<<20), addr: addr}
}

func (c *caller) call(id, body string) *beryloutcome.Outcome {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	x := &berylexchange.Exchange{Path: "/s.S/M", Codec: "json", Protocol: connect.ProtocolConnect, Header: http.Header{}, Body: []byte(body)}
	return c.relay.Do(ctx, c.addr, x, http.Header{berylheader.Call: {id}}, time.Second)
}

// copying is a server that refuses the first attempts of each call, and runs the others. If an id
// comes again on a connection, it first writes a copy of its response to the earlier one.
type copying struct {
	refusals int // of each id
	status   int
	header   string // of refusals

	mu       sync.Mutex
	attempts map[string]int
	ran      map[string]bool // by body
}

func (s *copying) answer() answerer {
	earlier := map[string]string{}
	return func(id, body string) string {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.attempts[id]++
		res := response(id, s.status, s.header, `{"code":"unavailable"}`)
		if s.attempts[id] > s.refusals {
			s.ran[body] = true
			res = response(id, http.StatusOK, "", body)
		}
		copied := earlier[id]
		earlier[id] = res
		return copied + res
	}
}

// wrong reports whether the outcome is not that of the attempt with the body.
func (s *copying) wrong(out *beryloutcome.Outcome, body string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if out.Refusal != nil {
		return !out.Refusal.MayHaveRun
	}
	if out.Err != nil {
		return s.ran[body]
	}
	return string(out.Body) != body
}

// A call is sent again with its id, as a retry or as another nested call of the same root, and the
// server repeats its earlier response on the connection. It counted for the later call.
func TestCopyOfAResponseIsTakenForThatOfTheNextCallWithItsID(t *testing.T) {
	const marked = berylheader.Run + ": not run\r\n"
	for _, tc := range []struct {
		name     string
		status   int
		header   string
		refusals int
		between  bool
		callers  int
	}{
		{"refusal marked as not run", http.StatusServiceUnavailable, marked, 1, false, 1},
		{"two refusals", http.StatusTooManyRequests, marked, 2, false, 1},
		{"other calls in between", http.StatusServiceUnavailable, marked, 1, true, 1},
		{"callers at once", http.StatusServiceUnavailable, marked, 1, true, 8},
		{"other error", http.StatusServiceUnavailable, "", 1, false, 1},
		{"answers of nested calls of one root", 0, "", 0, false, 1},
		{"answers of nested calls of one root, callers at once", 0, "", 0, true, 8},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := &copying{refusals: tc.refusals, status: tc.status, header: tc.header, attempts: map[string]int{}, ran: map[string]bool{}}
			addr, _ := startAnswering(t, s.answer)
			c := newCaller(t, addr)
			const ids, attempts = 40, 4
			var wrong, failed, calls atomic.Int32
			try := func(id, body string) {
				out := c.call(id, body)
				calls.Add(1)
				if s.wrong(out, body) {
					wrong.Add(1)
				}
				if out.Refusal != nil {
					failed.Add(1)
				}
			}
			var all sync.WaitGroup
			for n := range tc.callers {
				all.Go(func() {
					for i := range ids {
						id := fmt.Sprintf("%d-%d", n, i)
						for k := range attempts {
							try(id, fmt.Sprintf(`{"n":"%s-%d"}`, id, k))
							if tc.between {
								other := fmt.Sprintf("%s-other-%d", id, k)
								try(other, fmt.Sprintf(`{"n":%q}`, other))
							}
						}
					}
				})
			}
			all.Wait()
			require.Zero(t, wrong.Load(), "calls with the response of another one, of %d", calls.Load())
			require.Zero(t, failed.Load(), "calls without a response, of %d", calls.Load())
		})
	}
}

// A server is one response behind on a connection, since it sent one too many. All calls on that
// connection were lost.
func TestConnectionThatIsOutOfStepIsUsedAgain(t *testing.T) {
	var conns atomic.Int32
	newAnswerer := func() answerer {
		faulty := conns.Add(1) == 2
		requests, last := 0, ""
		return func(id, body string) string {
			requests++
			res := response(id, http.StatusOK, "", body)
			if faulty && requests > 2 {
				res, last = last, res
				return res
			}
			last = res
			return res
		}
	}
	addr, _ := startAnswering(t, newAnswerer)
	c := newCaller(t, addr)
	const calls = 40
	lost := 0
	for i := range calls {
		out := c.call(strconv.Itoa(i), "{}")
		require.Nil(t, out.Refusal)
		if out.Header.Get(berylheader.Call) != strconv.Itoa(i) {
			lost++
		}
	}
	require.Equal(t, 1, lost, "calls with the response of another one, of %d", calls)
}

// Guards against a connection for each call.
func TestCallsWithIDsOfTheirOwnShareConnections(t *testing.T) {
	for _, tc := range []struct {
		name           string
		callers        int
		roots, perRoot int
		maxConns       int32
	}{
		{"one caller", 1, 3000, 1, 4},
		{"callers at once", 8, 250, 1, 9},
		{"nested calls of one root, one after the other", 1, 200, 5, 6},
		{"nested calls of some roots at once", 4, 50, 5, 9},
	} {
		t.Run(tc.name, func(t *testing.T) {
			addr, conns := startAnswering(t, func() answerer {
				return func(id, body string) string { return response(id, http.StatusOK, "", body) }
			})
			c := newCaller(t, addr)
			require.Nil(t, c.call("first", "{}").Refusal)
			var failed atomic.Int32
			var all sync.WaitGroup
			for n := range tc.callers {
				all.Go(func() {
					for i := range tc.roots * tc.perRoot {
						id := fmt.Sprintf("%d-%d", n, i/tc.perRoot)
						if out := c.call(id, "{}"); out.Refusal != nil || out.Header.Get(berylheader.Call) != id {
							failed.Add(1)
						}
					}
				})
			}
			all.Wait()
			require.Zero(t, failed.Load())
			require.LessOrEqual(t, conns.Load(), tc.maxConns)
		})
	}
}
