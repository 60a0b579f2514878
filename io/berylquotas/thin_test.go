package berylquotas

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"berylspan/core/berylaccount"

	"github.com/stretchr/testify/require"
)

// A small workspace sends five sixths of its rate, spread over fifteen instances:
// each sees a request every three seconds. Tokens that an instance holds for
// requests which do not come are lacking elsewhere.
func TestAWorkspaceSpreadThinGetsItsRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			instances = 15
			rate      = 6.0
			sent      = 5.0 // requests per second
		)
		a := &berylaccount.Account{Workspace: "w", Rate: rate, Burst: rate}
		account := func(string) *berylaccount.Account { return a }
		hosts := []string{}
		for i := range instances {
			hosts = append(hosts, string(rune('a'+i)))
		}
		all := map[string]*Quotas{}
		for _, host := range hosts {
			all[host] = New(host, func(to string, m Message) {
				go func() {
					time.Sleep(time.Millisecond)
					all[to].Receive(host, m, account)
				}()
			})
		}
		for _, q := range all {
			q.Tick(Round{Alive: hosts, Fleet: instances, Lenders: 1, Others: nil, Reserved: func(string) float64 { return 0 }, Account: account, All: []string{"w"}})
		}
		r := rand.New(rand.NewPCG(1, 1))
		asked, refused := 0, 0
		for begin := time.Now(); time.Since(begin) < 2*time.Minute; asked++ {
			time.Sleep(time.Duration(r.ExpFloat64() / sent * float64(time.Second)))
			if ok, _ := all[hosts[r.IntN(instances)]].Take(context.Background(), a); !ok {
				refused++
			}
		}
		require.Less(t, float64(refused), 0.1*float64(asked), "of %d", asked)
		time.Sleep(time.Second) // for answers that are on their way
	})
}
