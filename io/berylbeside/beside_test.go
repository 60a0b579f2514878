package berylbeside_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"berylspan/core/berylend"
	"berylspan/core/beryllisted"
	"berylspan/core/berylnames"
	"berylspan/io/berylbeside"
	"berylspan/io/berylreply"
	"berylspan/io/berylwork"

	"github.com/stretchr/testify/require"
)

// start runs a backend server that takes 30 ms and fails what begins with /fail.
func start(t *testing.T) *berylbeside.Beside {
	t.Helper()
	n := berylnames.Default()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(30 * time.Millisecond)
		w.Header().Set(n.RequestID, r.Header.Get(n.RequestID))
		w.Header().Set(n.ResponseSignature, "x")
		if strings.HasPrefix(r.URL.Path, "/fail") {
			w.WriteHeader(http.StatusInternalServerError)
		}
	}))
	t.Cleanup(srv.Close)
	own := beryllisted.Registration{ID: "i-1", Service: "s", Slots: 20, Born: 1}
	return berylbeside.New(srv.Listener.Addr().String(), n, func() (beryllisted.Registration, bool) { return own, true })
}

func work(id int, rule string, call bool) *berylwork.Work {
	now := time.Now()
	return &berylwork.Work{
		ID: strconv.Itoa(id), Method: http.MethodGet, URI: "/" + rule, Host: "h", Header: http.Header{}, Rule: rule, Service: "s",
		Instance: "i-1", Born: 1, Repeatable: true, Call: call, Until: now.Add(2 * time.Second), Aim: now.Add(time.Second),
	}
}

// The requests of one rule fail because the calls that they make are turned away
// below; those of another run well on the same server.
func TestNewWorkIsHeldBackWhileItsCallsWaitInVain(t *testing.T) {
	b := start(t)
	held, other := 0, 0
	var mu sync.Mutex
	var wg sync.WaitGroup
	for worker := range 10 {
		wg.Go(func() {
			for i := range 40 {
				b.Returned(30*time.Millisecond, 30*time.Millisecond)
				out := b.Run(context.Background(), work(worker*100+i, "fail", false))
				mu.Lock()
				if out.Reason == berylreply.Bound && out.End == berylend.Unsent {
					held++
				}
				mu.Unlock()
				if out.Reason == berylreply.Bound {
					time.Sleep(30 * time.Millisecond)
				}
			}
		})
	}
	wg.Go(func() {
		for i := range 30 {
			if out := b.Run(context.Background(), work(5000+i, "plain", false)); out.Reason != "" {
				other++
			}
		}
	})
	wg.Wait()
	require.Positive(t, held)
	require.Zero(t, other)
	out := b.Run(context.Background(), work(9000, "fail", true))
	require.Equal(t, berylend.Answered, out.End, "calls of running work are not held back")
}
