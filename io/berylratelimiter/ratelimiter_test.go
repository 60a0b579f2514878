package berylratelimiter

import (
	"context"
	"sync"
	"testing"
	"time"

	"berylspan/core/berylaccount"

	"github.com/stretchr/testify/require"
)

// Guards against admitting a multiple of the rate after all instances have restarted at
// once and no instance has received a heartbeat from another: each may only use its own
// share.
func TestRateHoldsAfterRestartOfFleet(t *testing.T) {
	const instanceCount = 13
	a := &berylaccount.Account{Workspace: "w", Rate: 100, Burst: 100}
	findAccount := func(string) *berylaccount.Account { return a }
	var limiters []*RateLimiter
	for i := range instanceCount {
		l := New(string(rune('a'+i)), func(string, Message) {})
		l.Update(FleetState{LenderCandidates: []string{l.host}, FleetSize: instanceCount, LenderCount: 1, OtherDemand: nil, ReservedShare: func(string) float64 { return float64(instanceCount-1) / instanceCount }, Account: findAccount, Workspaces: []string{"w"}})
		limiters = append(limiters, l)
	}
	admitted := 0
	start := time.Now()
	for time.Since(start) < 500*time.Millisecond {
		for _, l := range limiters {
			if ok, _ := l.Take(context.Background(), a, 0); ok {
				admitted++
			}
		}
		time.Sleep(time.Millisecond)
	}
	require.LessOrEqual(t, float64(admitted), 100*time.Since(start).Seconds()+100)
	require.Positive(t, admitted)
}

// Guards against exceeding the rate when the lender is busy and replies to only some of
// the requests in time. Instances without a reply fall back on their own share, which
// must not add to what the lender lends.
func TestFallbackSharesDoNotAddToLentTokens(t *testing.T) {
	const instanceCount = 8
	a := &berylaccount.Account{Workspace: "w", Rate: 40, Burst: 160}
	findAccount := func(string) *berylaccount.Account { return a }
	hosts := []string{}
	for i := range instanceCount {
		hosts = append(hosts, string(rune('a'+i)))
	}
	limiters := map[string]*RateLimiter{}
	var mu sync.Mutex
	messageCount := 0
	for _, host := range hosts {
		limiters[host] = New(host, func(to string, m Message) {
			mu.Lock()
			messageCount++
			lost := len(m.Requested) > 0 && messageCount%3 == 0
			mu.Unlock()
			if !lost {
				go limiters[to].HandleMessage(host, m, findAccount)
			}
		})
	}
	noReserve := func(string) float64 { return 0 }
	otherDemand := map[string]float64{"w": 400}
	for _, l := range limiters {
		l.Update(FleetState{LenderCandidates: hosts, FleetSize: instanceCount, LenderCount: 1, OtherDemand: otherDemand, ReservedShare: noReserve, Account: findAccount, Workspaces: []string{"w"}})
	}
	time.Sleep(100 * time.Millisecond)
	start := time.Now()
	admitted := 0
	var wg sync.WaitGroup
	for _, l := range limiters {
		for range 4 {
			wg.Go(func() {
				for time.Since(start) < time.Second {
					if ok, _ := l.Take(context.Background(), a, 0); ok {
						mu.Lock()
						admitted++
						mu.Unlock()
					}
					time.Sleep(time.Millisecond)
				}
			})
		}
	}
	wg.Wait()
	// The bucket was empty 100 ms before the start, and a tenth is for the time of the
	// last requests.
	require.LessOrEqual(t, float64(admitted), 40*1.3+float64(instanceCount))
}

func TestUnknownFleetSizeAdmitsFewRequests(t *testing.T) {
	a := &berylaccount.Account{Workspace: "w", Rate: 100, Burst: 100}
	l := New("a", func(string, Message) {})
	admitted := 0
	for range 50 {
		if ok, _ := l.Take(context.Background(), a, 0); ok {
			admitted++
		}
	}
	require.LessOrEqual(t, admitted, 10)
}
