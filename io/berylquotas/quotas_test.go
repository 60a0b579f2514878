package berylquotas

import (
	"context"
	"sync"
	"testing"
	"time"

	"berylspan/core/berylaccount"

	"github.com/stretchr/testify/require"
)

// All instances were restarted at once and none has heard of another yet: each
// may only give its own part, or the fleet gives the rate many times.
func TestAfterARestartOfEverythingTheFleetKeepsTheRate(t *testing.T) {
	const instances = 13
	a := &berylaccount.Account{Workspace: "w", Rate: 100, Burst: 100}
	account := func(string) *berylaccount.Account { return a }
	var all []*Quotas
	for i := range instances {
		q := New(string(rune('a'+i)), func(string, Message) {})
		q.Tick(Round{Alive: []string{q.host}, Fleet: instances, Lenders: 1, Others: nil, Reserved: func(string) float64 { return float64(instances-1) / instances }, Account: account, All: []string{"w"}})
		all = append(all, q)
	}
	took := 0
	begin := time.Now()
	for time.Since(begin) < 500*time.Millisecond {
		for _, q := range all {
			if ok, _ := q.Take(context.Background(), a); ok {
				took++
			}
		}
		time.Sleep(time.Millisecond)
	}
	require.LessOrEqual(t, float64(took), 100*time.Since(begin).Seconds()+100)
	require.Positive(t, took)
}

// The lender is busy and answers only some of the questions in time. Whoever gets
// no answer falls back on the own part, which must not come on top of what the
// lender gives.
func TestOwnPartsDoNotComeOnTopOfWhatIsLent(t *testing.T) {
	const instances = 8
	a := &berylaccount.Account{Workspace: "w", Rate: 40, Burst: 160}
	account := func(string) *berylaccount.Account { return a }
	hosts := []string{}
	for i := range instances {
		hosts = append(hosts, string(rune('a'+i)))
	}
	all := map[string]*Quotas{}
	var mu sync.Mutex
	asks := 0
	for _, host := range hosts {
		all[host] = New(host, func(to string, m Message) {
			mu.Lock()
			asks++
			lost := len(m.Ask) > 0 && asks%3 == 0
			mu.Unlock()
			if !lost {
				go all[to].Receive(host, m, account)
			}
		})
	}
	none := func(string) float64 { return 0 }
	others := map[string]float64{"w": 400}
	for _, q := range all {
		q.Tick(Round{Alive: hosts, Fleet: instances, Lenders: 1, Others: others, Reserved: none, Account: account, All: []string{"w"}})
	}
	time.Sleep(100 * time.Millisecond)
	begin := time.Now()
	took := 0
	var wg sync.WaitGroup
	for _, q := range all {
		for range 4 {
			wg.Go(func() {
				for time.Since(begin) < time.Second {
					if ok, _ := q.Take(context.Background(), a); ok {
						mu.Lock()
						took++
						mu.Unlock()
					}
					time.Sleep(time.Millisecond)
				}
			})
		}
	}
	wg.Wait()
	// The bucket was empty 100 ms before; the tenth is for the time of the last
	// requests.
	require.LessOrEqual(t, float64(took), 40*1.3+float64(instances))
}

func TestBeforeAnythingIsKnownLittleIsGiven(t *testing.T) {
	a := &berylaccount.Account{Workspace: "w", Rate: 100, Burst: 100}
	q := New("a", func(string, Message) {})
	took := 0
	for range 50 {
		if ok, _ := q.Take(context.Background(), a); ok {
			took++
		}
	}
	require.LessOrEqual(t, took, 10)
}
