package berylrunner_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"berylspan/core/berylattempt"
	"berylspan/io/berylreply"

	"github.com/stretchr/testify/require"
)

// Requests of one rule fail because a service that they call sheds. Most new requests of this
// rule are refused unsent until that has ended. Requests of a rule without nested calls and
// nested calls are not refused.
func TestNewRequestsAreRefusedWhileAServiceInTheirChainSheds(t *testing.T) {
	r := startRunner(t)
	var refused, failed, othersRefused atomic.Int64
	run := func(d time.Duration) {
		refused.Store(0)
		failed.Store(0)
		end := time.Now().Add(d)
		var wg sync.WaitGroup
		for worker := range 8 {
			wg.Go(func() {
				for i := 0; time.Now().Before(end); i++ {
					rule := "fail"
					if worker == 0 {
						rule = "plain"
					} else {
						r.CallStarted("lookup")
						r.CallEnded(time.Millisecond, 0, true)
					}
					reply := r.Run(context.Background(), newRequest(worker*1000+i, rule, false))
					switch {
					case reply.Reason == berylreply.ReasonShedding && rule == "plain":
						othersRefused.Add(1)
					case reply.Reason == berylreply.ReasonShedding:
						require.Equal(t, berylattempt.Unsent, reply.Outcome)
						refused.Add(1)
						time.Sleep(30 * time.Millisecond)
					default:
						failed.Add(1)
					}
				}
			})
		}
		wg.Wait()
	}
	run(2500 * time.Millisecond)
	require.Zero(t, refused.Load(), "no service is known to shed")
	r.SetShedding(0.55)
	run(time.Second)
	require.Greater(t, refused.Load(), failed.Load())
	require.Zero(t, othersRefused.Load())
	reply := r.Run(context.Background(), newRequest(9000, "fail", true))
	require.Equal(t, berylattempt.Answered, reply.Outcome)
	r.SetShedding(0)
	time.Sleep(1600 * time.Millisecond) // The admitted share grows for 1.5 s.
	run(200 * time.Millisecond)
	require.Zero(t, refused.Load())
}
