package berylratelimiter

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"berylspan/core/berylaccount"

	"github.com/stretchr/testify/require"
)

// Guards against tokens that instances hold for requests which do not come while other
// instances lack them. A small workspace sends five sixths of its rate over fifteen
// instances, so that each receives a request every three seconds.
func TestSparseTrafficOverManyInstancesIsAdmitted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			instanceCount     = 15
			rate              = 6.0
			requestsPerSecond = 5.0
		)
		a := &berylaccount.Account{Workspace: "w", Rate: rate, Burst: rate}
		findAccount := func(string) *berylaccount.Account { return a }
		hosts := []string{}
		for i := range instanceCount {
			hosts = append(hosts, string(rune('a'+i)))
		}
		limiters := map[string]*RateLimiter{}
		for _, host := range hosts {
			limiters[host] = New(host, func(to string, m Message) {
				go func() {
					time.Sleep(time.Millisecond)
					limiters[to].HandleMessage(host, m, findAccount)
				}()
			})
		}
		for _, l := range limiters {
			l.Update(FleetState{LenderCandidates: hosts, FleetSize: instanceCount, LenderCount: 1, OtherDemand: nil, ReservedShare: func(string) float64 { return 0 }, Account: findAccount, Workspaces: []string{"w"}})
		}
		r := rand.New(rand.NewPCG(1, 1))
		sent, refused := 0, 0
		for start := time.Now(); time.Since(start) < 2*time.Minute; sent++ {
			time.Sleep(time.Duration(r.ExpFloat64() / requestsPerSecond * float64(time.Second)))
			if ok, _ := limiters[hosts[r.IntN(instanceCount)]].Take(context.Background(), a, 0); !ok {
				refused++
			}
		}
		require.Less(t, float64(refused), 0.1*float64(sent), "of %d", sent)
		time.Sleep(time.Second) // for replies in flight
	})
}
