package berylconnpool

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"berylspan/core/berylattempt"

	"github.com/stretchr/testify/require"
)

// Guards against requests that are lost because they need a connection without their id when the
// server accepts no more connections and resets them.
func TestRefusedRequestIsLostAtTheLimitOfConnections(t *testing.T) {
	const workers, requests, sendsPerID = 4, 250, 8
	for _, limit := range []int64{workers, 2 * workers} {
		t.Run(fmt.Sprint(limit), func(t *testing.T) {
			var open, resets, lost atomic.Int64
			p := startRawServer(t, func(c net.Conn) {
				defer open.Add(-1)
				if open.Add(1) > limit {
					resets.Add(1)
					if tc, ok := c.(*net.TCPConn); ok {
						_ = tc.SetLinger(0) // Closing it without a reset would do, too.
					}
					return
				}
				serveAttempts(c, func(r *http.Request) string {
					id := r.Header.Get("Beryl-Call")
					if rand.IntN(2) == 0 { //nolint:gosec // No secret.
						return errorAnswer(503, id, notRun)
					}
					time.Sleep(500 * time.Microsecond)
					return okAnswer(id, "body")
				})
			})
			MaxOpen(func() int { return int(limit) })(p)
			var wg sync.WaitGroup
			for w := range workers {
				wg.Go(func() {
					for i := range requests {
						id := fmt.Sprint(w, "-", i)
						outcome := berylattempt.Rejected
						for n := 0; n < sendsPerID && outcome == berylattempt.Rejected; n++ {
							r := &Request{Method: http.MethodGet, URI: "/", Host: "h", ID: id, Header: http.Header{"Beryl-Call": {id}}, NonIdempotent: true}
							outcome = p.Send(context.Background(), r, func() {}).Outcome
						}
						if outcome == berylattempt.Unknown {
							lost.Add(1)
						}
					}
				})
			}
			wg.Wait()
			require.Zero(t, resets.Load(), "connections reset")
			require.Zero(t, lost.Load(), "requests lost of %d", workers*requests)
		})
	}
}
