package berylrunner_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"berylspan/core/berylattempt"
	"berylspan/core/berylheadernames"
	"berylspan/core/berylregistration"
	"berylspan/io/berylreply"
	"berylspan/io/berylrequest"
	"berylspan/io/berylrunner"

	"github.com/stretchr/testify/require"
)

// startRunner returns a runner for a backend server that takes 30 ms for a request and
// answers paths that begin with /fail with an error.
func startRunner(t *testing.T) *berylrunner.Runner {
	t.Helper()
	n := berylheadernames.Default()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(30 * time.Millisecond)
		w.Header().Set(n.RequestID, r.Header.Get(n.RequestID))
		w.Header().Set(n.ResponseSignature, "x")
		if strings.HasPrefix(r.URL.Path, "/fail") {
			w.WriteHeader(http.StatusInternalServerError)
		}
	}))
	t.Cleanup(srv.Close)
	entry := berylregistration.Registration{ID: "i-1", Service: "s", Slots: 20, Born: 1}
	return berylrunner.New(srv.Listener.Addr().String(), n, func() (berylregistration.Registration, bool) { return entry, true })
}

func newRequest(id int, rule string, nested bool) *berylrequest.Request {
	now := time.Now()
	return &berylrequest.Request{
		ID: strconv.Itoa(id), Method: http.MethodGet, URI: "/" + rule, Host: "h", Header: http.Header{}, Rule: rule, Service: "s",
		ServerID: "i-1", ServerStartMs: 1, Idempotent: true, Nested: nested, Deadline: now.Add(2 * time.Second), TargetTime: now.Add(time.Second),
	}
}

// Requests of one rule fail because their nested calls are refused by an overloaded
// service. New requests of this rule must be throttled; requests of another rule on the
// same server and nested calls must not.
func TestNewRequestsAreThrottledWhileTheirNestedCallsWait(t *testing.T) {
	r := startRunner(t)
	throttled, otherFailed := 0, 0
	var mu sync.Mutex
	var wg sync.WaitGroup
	for worker := range 10 {
		wg.Go(func() {
			for i := range 40 {
				r.CallEnded(30*time.Millisecond, 30*time.Millisecond, false)
				reply := r.Run(context.Background(), newRequest(worker*100+i, "fail", false))
				mu.Lock()
				if reply.Reason == berylreply.ReasonThrottled && reply.Outcome == berylattempt.Unsent {
					throttled++
				}
				mu.Unlock()
				if reply.Reason == berylreply.ReasonThrottled {
					time.Sleep(30 * time.Millisecond)
				}
			}
		})
	}
	wg.Go(func() {
		for i := range 30 {
			if reply := r.Run(context.Background(), newRequest(5000+i, "plain", false)); reply.Reason != "" {
				otherFailed++
			}
		}
	})
	wg.Wait()
	require.Positive(t, throttled)
	require.Zero(t, otherFailed)
	reply := r.Run(context.Background(), newRequest(9000, "fail", true))
	require.Equal(t, berylattempt.Answered, reply.Outcome, "nested calls are not throttled")
}
