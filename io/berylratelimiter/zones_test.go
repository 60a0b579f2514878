package berylratelimiter

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"berylspan/core/berylaccount"

	"github.com/stretchr/testify/require"
)

const (
	crossZoneDelay = 5400 * time.Microsecond
	sameZoneDelay  = 500 * time.Microsecond
)

// zonedFleet is a fleet of several data centres, the first of which lends.
type zonedFleet struct {
	account    *berylaccount.Account
	limiters   [][]*RateLimiter // by data centre
	zone       map[string]int   // index of the data centre, by host
	maxWait    time.Duration    // of a request for a token
	partition  atomic.Bool      // whether messages between the first data centre and the others are lost
	admittedAt []time.Time
}

func newZonedFleet(zoneCount, instancesPerZone int, a *berylaccount.Account) *zonedFleet {
	z := &zonedFleet{account: a, zone: map[string]int{}}
	for i := range zoneCount {
		var limiters []*RateLimiter
		for j := range instancesPerZone {
			host := fmt.Sprintf("%d-%d", i, j)
			z.zone[host] = i
			limiters = append(limiters, New(host, func(to string, m Message) { z.deliver(host, to, m) }))
		}
		z.limiters = append(z.limiters, limiters)
	}
	return z
}

func (z *zonedFleet) findAccount(string) *berylaccount.Account { return z.account }

func (z *zonedFleet) deliver(from, to string, m Message) {
	fromZone, toZone := z.zone[from], z.zone[to]
	if z.partition.Load() && (fromZone == 0) != (toZone == 0) {
		return
	}
	delay := sameZoneDelay
	if fromZone != toZone {
		delay = crossZoneDelay
	}
	go func() {
		time.Sleep(delay)
		i := slices.IndexFunc(z.limiters[toZone], func(l *RateLimiter) bool { return l.host == to })
		z.limiters[toZone][i].HandleMessage(from, m, z.findAccount)
	}()
}

// update gives all instances the state of the fleet. reservedShare is the share that the
// lending data centre keeps for the others.
func (z *zonedFleet) update(reservedShare float64) {
	hosts := make([][]string, len(z.limiters))
	for i, limiters := range z.limiters {
		for _, l := range limiters {
			hosts[i] = append(hosts[i], l.host)
		}
	}
	for i, limiters := range z.limiters {
		state := FleetState{LenderCandidates: hosts[i], FleetSize: len(z.zone), LenderCount: len(hosts), Account: z.findAccount, Workspaces: []string{z.account.Workspace}}
		state.LendingZoneHosts = func(string) []string { return nil }
		state.ReservedShare = func(string) float64 { return reservedShare }
		if i > 0 {
			state.LendingZoneHosts = func(string) []string { return hosts[0] }
			state.ReservedShare = func(string) float64 { return 1 - 1/float64(len(hosts)) }
		}
		for _, l := range limiters {
			l.Update(state)
		}
	}
}

// sendRequests sends requests at random intervals to random instances and returns how
// many were sent and how many of them were refused.
func (z *zonedFleet) sendRequests(r *rand.Rand, requestsPerSecond float64, duration time.Duration) (sent, refused int) {
	for start := time.Now(); time.Since(start) < duration; sent++ {
		time.Sleep(time.Duration(r.ExpFloat64() / requestsPerSecond * float64(time.Second)))
		limiters := z.limiters[r.IntN(len(z.limiters))]
		if ok, _ := limiters[r.IntN(len(limiters))].Take(context.Background(), z.account, z.maxWait); ok {
			z.admittedAt = append(z.admittedAt, time.Now())
		} else {
			refused++
		}
	}
	return sent, refused
}

// sendConcurrently is like sendRequests, but a request does not wait for the end of the one
// before it. It also returns the longest time that a refused request waited.
func (z *zonedFleet) sendConcurrently(r *rand.Rand, requestsPerSecond float64, duration time.Duration) (sent, refused int, longest time.Duration) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for start := time.Now(); time.Since(start) < duration; sent++ {
		time.Sleep(time.Duration(r.ExpFloat64() / requestsPerSecond * float64(time.Second)))
		limiters := z.limiters[r.IntN(len(z.limiters))]
		l := limiters[r.IntN(len(limiters))]
		wg.Go(func() {
			begin := time.Now()
			ok, _ := l.Take(context.Background(), z.account, z.maxWait)
			mu.Lock()
			defer mu.Unlock()
			if ok {
				z.admittedAt = append(z.admittedAt, time.Now())
				return
			}
			refused++
			longest = max(longest, time.Since(begin))
		})
	}
	wg.Wait()
	return sent, refused, longest
}

// maxAdmittedInFiveSeconds returns the most requests admitted in any five seconds.
func (z *zonedFleet) maxAdmittedInFiveSeconds() int {
	highest, first := 0, 0
	for i, admitted := range z.admittedAt {
		for admitted.Sub(z.admittedAt[first]) > 5*time.Second {
			first++
		}
		highest = max(highest, i-first+1)
	}
	return highest
}

// Guards against refusing a small workspace that sends five sixths of its rate from four
// data centres.
func TestSparseTrafficOverDataCentresIsAdmitted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z := newZonedFleet(4, 15, &berylaccount.Account{Workspace: "w", Rate: 6, Burst: 6})
		z.update(0)
		sent, refused := z.sendRequests(rand.New(rand.NewPCG(1, 1)), 5, 2*time.Minute)
		require.Less(t, float64(refused), 0.1*float64(sent), "of %d", sent)
		require.LessOrEqual(t, z.maxAdmittedInFiveSeconds(), 5*6+6)
		time.Sleep(time.Second) // for replies in flight
	})
}

// A workspace that stays within its rate was refused whenever its bucket was empty for a
// moment. One that sends five times its rate must be refused at once instead of holding
// many requests.
func TestRequestsWithinTheRateWaitForATokenInsteadOfBeingRefused(t *testing.T) {
	const maxWait = 180 * time.Millisecond
	for _, tc := range []struct {
		name               string
		rate, burst        float64
		demand             float64 // requests per second
		minShare, maxShare float64 // of the requests that are refused
	}{
		{"small workspace at two thirds of its rate", 9, 6, 6, 0, 0.01},
		{"large workspace at nine tenths of its rate", 60, 20, 54, 0, 0.01},
		{"five times its rate", 20, 20, 100, 0.78, 0.82},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				z := newZonedFleet(6, 7, &berylaccount.Account{Workspace: "w", Rate: tc.rate, Burst: tc.burst})
				z.maxWait = maxWait
				z.update(0)
				time.Sleep(time.Second)
				sent, refused, longest := z.sendConcurrently(rand.New(rand.NewPCG(1, 1)), tc.demand, 2*time.Minute)
				share := float64(refused) / float64(sent)
				t.Logf("%d of %d refused, after at most %v", refused, sent, longest)
				require.GreaterOrEqual(t, share, tc.minShare)
				require.LessOrEqual(t, share, tc.maxShare)
				require.Less(t, longest, maxWait+replyTimeout)
				require.LessOrEqual(t, float64(z.maxAdmittedInFiveSeconds()), 5*tc.rate+tc.burst)
				time.Sleep(time.Second) // for replies in flight
			})
		})
	}
}

// Guards against exceeding the rate when the lending data centre is partitioned from the
// others and becomes reachable again, while a workspace sends three times its rate. Each
// side learns of the partition two seconds late. Until then the others refuse requests
// for which they cannot borrow tokens.
func TestRateHoldsWhileLendingDataCentreIsPartitioned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const rate, burst = 40.0, 40.0
		z := newZonedFleet(4, 5, &berylaccount.Account{Workspace: "w", Rate: rate, Burst: burst})
		r := rand.New(rand.NewPCG(1, 1))
		z.update(0)
		z.sendRequests(r, 3*rate, 10*time.Second)
		z.partition.Store(true)
		z.sendRequests(r, 3*rate, 2*time.Second)
		for range 20 {
			z.update(0.75)
			z.sendRequests(r, 3*rate, time.Second/2)
		}
		admittedUntilRecovery := len(z.admittedAt)
		require.Greater(t, float64(admittedUntilRecovery), rate*15, "the other data centres use their own shares")
		z.partition.Store(false)
		z.update(0.75)
		z.sendRequests(r, 3*rate, time.Second/2)
		z.update(0)
		z.sendRequests(r, 3*rate, 10*time.Second)
		require.LessOrEqual(t, float64(z.maxAdmittedInFiveSeconds()), 5*rate+burst)
		require.Greater(t, float64(len(z.admittedAt)-admittedUntilRecovery), rate*8)
		time.Sleep(time.Second)
	})
}

// The instance that is asked first is not the lender, so it forwards the borrow request.
func TestBorrowRequestIsForwardedToLender(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z := newZonedFleet(2, 4, &berylaccount.Account{Workspace: "w", Rate: 100, Burst: 100})
		z.update(0)
		time.Sleep(time.Second)
		for _, limiters := range z.limiters[1:] {
			for _, l := range limiters {
				ok, _ := l.Take(context.Background(), z.account, 0)
				require.True(t, ok)
			}
		}
		lender := z.limiters[0][0].lenderHost("w")
		for _, l := range z.limiters[0] {
			require.Equal(t, l.host == lender, len(l.lenders) > 0)
		}
		time.Sleep(time.Second)
	})
}
