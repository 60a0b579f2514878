package berylserver

import (
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

// limitedFace is a server with limits that records what it does about callers beyond them.
type limitedFace struct {
	memory *berylmemory.Memory
	addr   string
	mu     sync.Mutex
	kinds  map[string]int
}

func (f *limitedFace) count(kind string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.kinds[kind]
}

func startLimitedFace(t *testing.T, memory berylmemorybudget.Limits, conns berylconnectionlimit.Limit, h http.HandlerFunc) *limitedFace {
	t.Helper()
	ln, err := Listen("127.0.0.1:0")
	require.NoError(t, err)
	f := &limitedFace{memory: berylmemory.New(memory), addr: ln.Addr().String(), kinds: map[string]int{}}
	s := Serve(ln, h, nil, Limit(Limits{
		Memory: f.memory, Conns: conns, MaxHeaderLines: 100,
		Refuse: func(w http.ResponseWriter, status int) { w.WriteHeader(status) },
		OnLimited: func(kind string) {
			f.mu.Lock()
			f.kinds[kind]++
			f.mu.Unlock()
		},
	}))
	t.Cleanup(func() { _ = s.Close() })
	return f
}

// clients returns a client of HTTP/1 and one of HTTP/2.
func clients(t *testing.T) map[string]*http.Client {
	out := map[string]*http.Client{}
	for name, http2 := range map[string]bool{"HTTP/1": false, "HTTP/2": true} {
		p := &http.Protocols{}
		p.SetHTTP1(!http2)
		p.SetUnencryptedHTTP2(http2)
		transport := &http.Transport{Protocols: p}
		t.Cleanup(transport.CloseIdleConnections)
		out[name] = &http.Client{Transport: transport}
	}
	return out
}

func post(ctx context.Context, c *http.Client, addr string, lines int, body string) (int, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/", strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	for i := range lines {
		r.Header.Set(fmt.Sprintf("X-%d", i), "v")
	}
	resp, err := c.Do(r)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }() // It was read.
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

func TestRequestsBeyondLimitsAreNotHandled(t *testing.T) {
	for name, c := range clients(t) {
		t.Run(name, func(t *testing.T) {
			f := startLimitedFace(t, berylmemorybudget.Limits{Total: 100 << 10}, berylconnectionlimit.Limit{}, func(w http.ResponseWriter, r *http.Request) {
				if _, err := io.Copy(io.Discard, r.Body); err != nil {
					w.WriteHeader(http.StatusTeapot)
				}
			})
			for _, request := range []struct {
				name   string
				lines  int
				body   string
				status int
				kind   string
			}{
				{"an ordinary one", 20, "body", 200, ""},
				{"too many lines", 101, "", 431, limitedHeaderLines},
				{"a body that may not be held", 1, strings.Repeat("b", 60<<10), 418, limitedMemory},
				{"an ordinary one again", 20, "body", 200, ""},
			} {
				status, err := post(context.Background(), c, f.addr, request.lines, request.body)
				require.NoError(t, err, request.name)
				require.Equal(t, request.status, status, request.name)
				if request.kind != "" {
					require.Positive(t, f.count(request.kind), request.name)
				}
			}
			held := f.memory.Open("", nil)
			require.True(t, held.Charge(98<<10))
			status, err := post(context.Background(), c, f.addr, 1, "")
			require.NoError(t, err)
			require.Equal(t, http.StatusServiceUnavailable, status)
		})
	}
}

func TestUnreadAnswerGivesWayToAnOrdinaryRequest(t *testing.T) {
	for name, c := range clients(t) {
		t.Run(name, func(t *testing.T) {
			ended := make(chan struct{})
			var writes atomic.Int32
			f := startLimitedFace(t, berylmemorybudget.Limits{Total: 1 << 20}, berylconnectionlimit.Limit{}, func(w http.ResponseWriter, r *http.Request) {
				if r.Header.Get("X-0") != "" {
					return
				}
				defer close(ended)
				for {
					if _, err := w.Write(make([]byte, 400<<10)); err != nil {
						return
					}
					writes.Add(1)
				}
			})
			r, err := http.NewRequest(http.MethodGet, "http://"+f.addr+"/", nil)
			require.NoError(t, err)
			resp, err := c.Do(r)
			require.NoError(t, err)
			defer func() { _ = resp.Body.Close() }() // It was not read.
			last := int32(-1)
			require.Eventually(t, func() bool {
				stands := writes.Load() == last && f.memory.Held() > 400<<10
				last = writes.Load()
				return stands
			}, 10*time.Second, 300*time.Millisecond, "a write waits for the caller")
			fill := f.memory.Open("", nil)
			require.True(t, fill.Charge(1<<20-f.memory.Held()))
			status, err := post(context.Background(), c, f.addr, 1, "")
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, status)
			<-ended
			require.Equal(t, 1, f.count(limitedHeaviest))
		})
	}
}

func TestLongestIdleConnectionsAreClosedForNewOnes(t *testing.T) {
	f := startLimitedFace(t, berylmemorybudget.Limits{}, berylconnectionlimit.Limit{Soft: 10, Hard: 12}, func(http.ResponseWriter, *http.Request) {})
	var conns []net.Conn
	for range 30 {
		c, err := net.Dial("tcp", f.addr)
		require.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() }) // The server may have closed it.
		conns = append(conns, c)
		time.Sleep(5 * time.Millisecond)
	}
	require.NoError(t, conns[0].SetReadDeadline(time.Now().Add(5*time.Second)))
	_, err := conns[0].Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	status, err := post(context.Background(), clients(t)["HTTP/1"], f.addr, 1, "")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	require.GreaterOrEqual(t, f.count(limitedIdle), 20)
	require.Zero(t, f.count(limitedNew))
}
