package berylratelimiter

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"berylspan/core/berylaccount"

	"github.com/stretchr/testify/require"
)

// Tokens from a host that was not asked were added to those of the lender, so that any host
// of the network could raise a workspace's rate.
func TestTokensFromStrangersDoNotCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z := newZonedFleet(2, 3, &berylaccount.Account{Workspace: "w", Rate: 10, Burst: 10})
		z.update(0)
		time.Sleep(time.Second)
		admitted := 0
		for start := time.Now(); time.Since(start) < 20*time.Second; time.Sleep(20 * time.Millisecond) {
			for _, limiters := range z.limiters {
				for _, l := range limiters {
					done := make(chan bool, 1)
					go func() {
						ok, _ := l.Take(context.Background(), z.account, 0)
						done <- ok
					}()
					synctest.Wait()
					for _, m := range []Message{{Lent: map[string]int{"w": 50}}, {ZoneLent: map[string]int{"w": 50}}} {
						l.HandleMessage("192.0.2.1", m, z.findAccount)
					}
					if <-done {
						admitted++
					}
				}
			}
		}
		require.LessOrEqual(t, admitted, 20*10+10)
		time.Sleep(time.Second) // for replies in flight
	})
}
