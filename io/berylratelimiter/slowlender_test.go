package berylratelimiter

import (
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"berylspan/core/berylaccount"

	"github.com/stretchr/testify/require"
)

// While the lender was slow, instances used their own shares and its late replies as well.
func TestLateRepliesOfSlowLenderDoNotAddToOwnShares(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			instanceCount = 10
			rate, burst   = 300.0, 150.0
			pause         = 4 * time.Millisecond       // between two requests at an instance, together 2,500 per second
			runs, stands  = 20, 100 * time.Millisecond // the lender runs for 20 ms of each 100 ms
			duration      = 5 * time.Second
		)
		a := &berylaccount.Account{Workspace: "w", Rate: rate, Burst: burst}
		findAccount := func(string) *berylaccount.Account { return a }
		var hosts []string
		for i := range instanceCount {
			hosts = append(hosts, fmt.Sprint("host-", i))
		}
		begin := time.Now()
		standsFor := func() time.Duration {
			if at := time.Since(begin) % stands; at > runs*time.Millisecond {
				return stands - at
			}
			return 0
		}
		limiters := map[string]*RateLimiter{}
		lender := ""
		for _, host := range hosts {
			limiters[host] = New(host, func(to string, m Message) {
				wait := time.Millisecond
				if to == lender {
					wait += standsFor()
				}
				time.AfterFunc(wait, func() { limiters[to].HandleMessage(host, m, findAccount) })
			})
		}
		update := func() {
			for _, l := range limiters {
				l.Update(FleetState{
					LenderCandidates: hosts, FleetSize: instanceCount, LenderCount: 1, OtherDemand: map[string]float64{"w": (instanceCount - 1) * float64(time.Second/pause)},
					ReservedShare: func(string) float64 { return 0 }, Account: findAccount, Workspaces: []string{"w"},
				})
			}
		}
		update()
		lender = limiters[hosts[0]].lenderHost("w")
		var admitted atomic.Int64
		for _, host := range hosts {
			go func() {
				for time.Since(begin) < duration {
					if host == lender {
						time.Sleep(standsFor())
					}
					go func() {
						if ok, _ := limiters[host].Take(t.Context(), a, 0); ok {
							admitted.Add(1)
						}
					}()
					time.Sleep(pause)
				}
			}()
		}
		for time.Since(begin) < duration {
			time.Sleep(400 * time.Millisecond)
			update()
		}
		time.Sleep(time.Second) // Until all have ended.
		total := float64(admitted.Load())
		require.LessOrEqual(t, total, rate*duration.Seconds()+burst)
		require.GreaterOrEqual(t, total, rate*duration.Seconds()*0.75)
	})
}
