package berylquotas

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"berylspan/core/berylaccount"

	"github.com/stretchr/testify/require"
)

const (
	farDelay  = 5400 * time.Microsecond
	nearDelay = 500 * time.Microsecond
)

// zoned is a fleet of several data centres, the first of which lends.
type zoned struct {
	account   *berylaccount.Account
	instances [][]*Quotas
	zone      map[string]int
	cut       func(from, to int) bool // data centres that do not hear each other
	ran       []time.Time
}

func newZoned(zones, each int, a *berylaccount.Account) *zoned {
	z := &zoned{account: a, zone: map[string]int{}, cut: func(int, int) bool { return false }}
	for i := range zones {
		var all []*Quotas
		for j := range each {
			host := fmt.Sprintf("%d-%d", i, j)
			z.zone[host] = i
			all = append(all, New(host, func(to string, m Message) { z.pass(host, to, m) }))
		}
		z.instances = append(z.instances, all)
	}
	return z
}

func (z *zoned) find(string) *berylaccount.Account { return z.account }

func (z *zoned) pass(from, to string, m Message) {
	a, b := z.zone[from], z.zone[to]
	if z.cut(a, b) {
		return
	}
	delay := nearDelay
	if a != b {
		delay = farDelay
	}
	go func() {
		time.Sleep(delay)
		i := slices.IndexFunc(z.instances[b], func(q *Quotas) bool { return q.host == to })
		z.instances[b][i].Receive(from, m, z.find)
	}()
}

// tick tells all instances who can be heard; reserved is the part that the first
// data centre keeps back.
func (z *zoned) tick(reserved float64) {
	hosts := make([][]string, len(z.instances))
	for i, all := range z.instances {
		for _, q := range all {
			hosts[i] = append(hosts[i], q.host)
		}
	}
	for i, all := range z.instances {
		round := Round{Alive: hosts[i], Fleet: len(z.zone), Lenders: len(hosts), Account: z.find, All: []string{z.account.Workspace}}
		round.Home = func(string) []string { return nil }
		round.Reserved = func(string) float64 { return reserved }
		if i > 0 {
			round.Home = func(string) []string { return hosts[0] }
			round.Reserved = func(string) float64 { return 1 - 1/float64(len(hosts)) }
		}
		for _, q := range all {
			q.Tick(round)
		}
	}
}

// play sends requests at random for a time and returns how many and how many
// were refused.
func (z *zoned) play(r *rand.Rand, perSecond float64, long time.Duration) (asked, refused int) {
	for begin := time.Now(); time.Since(begin) < long; asked++ {
		time.Sleep(time.Duration(r.ExpFloat64() / perSecond * float64(time.Second)))
		all := z.instances[r.IntN(len(z.instances))]
		if ok, _ := all[r.IntN(len(all))].Take(context.Background(), z.account); ok {
			z.ran = append(z.ran, time.Now())
		} else {
			refused++
		}
	}
	return asked, refused
}

// most returns the most requests that ran within five seconds.
func (z *zoned) most() int {
	most, first := 0, 0
	for i, at := range z.ran {
		for at.Sub(z.ran[first]) > 5*time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// A small workspace sends five sixths of its rate from four data centres.
func TestASmallWorkspaceOfManyDataCentresGetsItsRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z := newZoned(4, 15, &berylaccount.Account{Workspace: "w", Rate: 6, Burst: 6})
		z.tick(0)
		asked, refused := z.play(rand.New(rand.NewPCG(1, 1)), 5, 2*time.Minute)
		require.Less(t, float64(refused), 0.1*float64(asked), "of %d", asked)
		require.LessOrEqual(t, z.most(), 5*6+6)
		time.Sleep(time.Second) // for answers that are on their way
	})
}

// A workspace sends thrice its rate while the lending data centre is cut off and
// comes back. Each side is told so two seconds later; requests that the others
// cannot ask about are refused meanwhile.
func TestTheRateHoldsWhileTheLendingDataCentreIsCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const rate, burst = 40.0, 40.0
		z := newZoned(4, 5, &berylaccount.Account{Workspace: "w", Rate: rate, Burst: burst})
		r := rand.New(rand.NewPCG(1, 1))
		z.tick(0)
		z.play(r, 3*rate, 10*time.Second)
		z.cut = func(from, to int) bool { return (from == 0) != (to == 0) }
		z.play(r, 3*rate, 2*time.Second)
		for range 20 {
			z.tick(0.75)
			z.play(r, 3*rate, time.Second/2)
		}
		cut := len(z.ran)
		require.Greater(t, float64(cut), rate*15, "the others use their parts")
		z.cut = func(int, int) bool { return false }
		z.tick(0.75)
		z.play(r, 3*rate, time.Second/2)
		z.tick(0)
		z.play(r, 3*rate, 10*time.Second)
		require.LessOrEqual(t, float64(z.most()), 5*rate+burst)
		require.Greater(t, float64(len(z.ran)-cut), rate*8)
		time.Sleep(time.Second)
	})
}

// The instance that is asked first does not lend; it passes the question on.
func TestAQuestionIsPassedOnToTheLender(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z := newZoned(2, 4, &berylaccount.Account{Workspace: "w", Rate: 100, Burst: 100})
		z.tick(0)
		time.Sleep(time.Second)
		for _, all := range z.instances[1:] {
			for _, q := range all {
				ok, _ := q.Take(context.Background(), z.account)
				require.True(t, ok)
			}
		}
		lender := z.instances[0][0].lender("w")
		for _, q := range z.instances[0] {
			require.Equal(t, q.host == lender, len(q.lenders) > 0)
		}
		time.Sleep(time.Second)
	})
}
