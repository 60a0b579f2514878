package berylrunner_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"berylspan/core/berylheadernames"
	"berylspan/core/beryllifetime"
	"berylspan/core/berylregistration"
	"berylspan/io/berylrunner"
	"berylspan/io/berylserverend"

	"github.com/stretchr/testify/require"
)

// holdingServer answers requests after holdTime, or begins a long answer at once, and loses the answers to some of them at once or
// after a quarter of that.
type holdingServer struct {
	*httptest.Server
	arrived atomic.Int32
}

const holdTime = 400 * time.Millisecond // longer than an end of a server takes to be recognized

func startHoldingServer(t *testing.T) *holdingServer {
	t.Helper()
	n := berylheadernames.Default()
	s := &holdingServer{}
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.arrived.Add(1)
		if strings.HasPrefix(r.URL.Path, "/lost") {
			panic(http.ErrAbortHandler)
		}
		if strings.HasPrefix(r.URL.Path, "/late") {
			time.Sleep(holdTime / 4)
			panic(http.ErrAbortHandler)
		}
		if strings.HasPrefix(r.URL.Path, "/long") {
			w.Header().Set(n.RequestID, r.Header.Get(n.RequestID))
			w.Header().Set(n.ResponseSignature, "x")
			_, _ = w.Write(make([]byte, 1<<20)) // The reader may leave.
		}
		select {
		case <-time.After(holdTime):
		case <-r.Context().Done():
		}
		w.Header().Set(n.RequestID, r.Header.Get(n.RequestID))
		w.Header().Set(n.ResponseSignature, "x")
	}))
	t.Cleanup(s.Close)
	return s
}

// crash closes the listener and all connections.
func (s *holdingServer) crash(t *testing.T) { require.NoError(t, s.Config.Close()) }

func TestServerEnd(t *testing.T) {
	for _, tc := range []struct {
		name    string
		rules   []string      // of the requests, whose ids are their places
		leaving bool          // according to the list
		removed bool          // from the list before the end
		next    time.Duration // from the end to the start of another server at the address, 0 without one
		cancel  bool          // cancel the requests before the end
		end     func(t *testing.T, s *holdingServer)
		ids     []string // of the requests that ended with the server, nil without an end
	}{
		{name: "listener and connections are closed", rules: []string{"a", "b"}, end: func(t *testing.T, s *holdingServer) { s.crash(t) }, ids: []string{"0", "1"}},
		{name: "one answer is lost", rules: []string{"a", "lost"}, end: func(*testing.T, *holdingServer) {}},
		{name: "one answer is lost and new connections are refused, but another request runs", rules: []string{"a", "late"}, end: func(_ *testing.T, s *holdingServer) {
			_ = s.Listener.Close() // Of an open listener.
		}},
		{name: "the server had announced that it is leaving", rules: []string{"a", "b"}, leaving: true, end: func(t *testing.T, s *holdingServer) { s.crash(t) }},
		{name: "the server had been removed from the list", rules: []string{"a", "b"}, removed: true, end: func(t *testing.T, s *holdingServer) { s.crash(t) }},
		{
			name: "another server accepts connections at once", rules: []string{"a", "b"}, next: 10 * time.Millisecond,
			end: func(_ *testing.T, s *holdingServer) { s.CloseClientConnections() }, ids: []string{"0", "1"},
		},
		{
			name: "another server starts long after answers were lost", rules: []string{"a", "b"}, next: 5 * time.Second,
			end: func(_ *testing.T, s *holdingServer) { s.CloseClientConnections() },
		},
		{name: "the requests were cancelled before", rules: []string{"a", "b"}, cancel: true, end: func(t *testing.T, s *holdingServer) { s.crash(t) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := startHoldingServer(t)
			entry := berylregistration.Registration{ID: "i-1", Service: "s", Slots: 20, Born: 1}
			var removed, leaving atomic.Bool
			var mu sync.Mutex
			var ends []berylserverend.ServerEnd
			r := berylrunner.New(s.Listener.Addr().String(), berylheadernames.Default(), func() (berylregistration.Registration, bool) {
				if removed.Load() {
					return berylregistration.Registration{}, false
				}
				entry := entry
				entry.Leaving = leaving.Load()
				return entry, true
			}, berylrunner.OnServerEnd(func(end berylserverend.ServerEnd) {
				mu.Lock()
				defer mu.Unlock()
				ends = append(ends, end)
			}))
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			var wg sync.WaitGroup
			for i, rule := range tc.rules {
				wg.Go(func() { r.Run(ctx, newRequest(i, rule, false)) })
			}
			require.Eventually(t, func() bool { return s.arrived.Load() == int32(len(tc.rules)) }, time.Second, time.Millisecond)
			removed.Store(tc.removed)
			leaving.Store(tc.leaving)
			if tc.cancel {
				cancel()
				time.Sleep(20 * time.Millisecond)
			}
			tc.end(t, s)
			wg.Wait()
			if tc.next != 0 {
				time.Sleep(holdTime) // Until the list shows the other server.
				req := newRequest(9, "lost", false)
				req.ServerID, req.ServerStartMs = "i-2", time.Now().Add(tc.next-holdTime).UnixMilli()
				r.Run(t.Context(), req)
			}
			if tc.ids == nil {
				time.Sleep(holdTime)
				mu.Lock()
				defer mu.Unlock()
				require.Empty(t, ends)
				return
			}
			require.Eventually(t, func() bool { mu.Lock(); defer mu.Unlock(); return len(ends) > 0 }, 2*time.Second, time.Millisecond)
			mu.Lock()
			defer mu.Unlock()
			require.Len(t, ends, 1)
			require.Equal(t, beryllifetime.Lifetime{ID: "i-1", BornMs: 1}, ends[0].Lifetime)
			var ids []string
			for _, e := range ends[0].Requests {
				ids = append(ids, e.ID)
			}
			require.ElementsMatch(t, tc.ids, ids)
		})
	}
}
