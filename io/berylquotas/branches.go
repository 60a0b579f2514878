package berylquotas

import (
	"time"

	"berylspan/core/berylaccount"
	"berylspan/core/berylborrower"
)

// branch is what this instance borrows for its data centre of a workspace whose
// tokens another data centre lends.
type branch struct {
	berylborrower.Borrower
	home    []string          // instances of the lending data centre, best first
	waiters map[string]waiter // instances that wait for an answer, by host
}

type waiter struct {
	want int
	at   time.Time
}

// mostBorrowed bounds the tokens of one question between data centres; as many
// as are held for a data centre that is asked for 2000 requests a second.
const mostBorrowed = 200

// branch returns the branch of a workspace, nil where its tokens are lent here.
func (q *Quotas) branch(workspace string) *branch {
	if b := q.branches[workspace]; b != nil {
		return b
	}
	if q.home == nil {
		return nil
	}
	home := q.home(workspace)
	if len(home) == 0 {
		return nil
	}
	b := &branch{home: home, waiters: map[string]waiter{}}
	q.branches[workspace] = b
	return b
}

// borrow asks the lending data centre for tokens when some are lacking. Each
// question without an answer goes to another of its instances, which passes it on.
func (q *Quotas) borrow(now time.Time, workspace string, b *branch, want int) {
	if n, tries := b.StartBorrow(now, want); n > 0 {
		q.send(b.home[tries%len(b.home)], Message{Borrow: map[string]int{workspace: n}})
	}
}

// lendBorrowed lends from what the data centre holds. Where that is nothing the
// instance at from waits for the lending data centre and is answered later.
func (q *Quotas) lendBorrowed(now time.Time, a *berylaccount.Account, b *branch, from string, want int) (n int, wait time.Duration, answered bool) {
	b.RecordDemand(now, want)
	if b.LenderUnreachable(now) {
		q.borrow(now, a.Workspace, b, want)
		n, wait = q.bucket(now, a).Lend(now, want)
		return n, wait, true
	}
	if n = b.Take(now, want); n > 0 {
		q.borrow(now, a.Workspace, b, 0)
		return n, 0, true
	}
	if wait = b.RetryAfter(now); wait > 0 {
		return 0, wait, true
	}
	b.waiters[from] = waiter{want, now}
	q.borrow(now, a.Workspace, b, b.lacking())
	return 0, 0, false
}

func (b *branch) lacking() int {
	sum := 0
	for _, x := range b.waiters {
		sum += x.want
	}
	return sum
}

// lendFar answers another data centre. An instance that does not lend the
// workspace's tokens passes the question on, once.
func (q *Quotas) lendFar(now time.Time, from string, m Message, account func(workspace string) *berylaccount.Account) {
	asker, passed := from, m.Asker != ""
	if passed {
		asker = m.Asker
	}
	for workspace, want := range m.Borrow {
		a := account(workspace)
		if a == nil {
			continue // Its data centre asks another instance.
		}
		switch to := q.lender(workspace); {
		case to == q.host && q.branch(workspace) == nil:
			n, wait := q.bucket(now, a).Lend(now, min(want, mostBorrowed))
			q.send(asker, Message{Granted: map[string]int{workspace: n}, WaitMs: map[string]int{workspace: int(wait.Milliseconds())}})
		case to != q.host && !passed:
			q.send(to, Message{Borrow: map[string]int{workspace: want}, Asker: asker})
		}
	}
}

// granted takes in tokens of the lending data centre and answers who waited. The
// own part of the rate only counts for the time without an answer.
func (q *Quotas) granted(now time.Time, workspace string, n int, wait time.Duration) {
	b := q.branches[workspace]
	if b == nil {
		return // The tokens are lent here by now.
	}
	delete(q.lenders, workspace)
	b.HandleReply(now, n, wait)
	for host, x := range b.waiters {
		if now.Sub(x.at) > askTimeout {
			delete(b.waiters, host)
			continue
		}
		n := b.Take(now, x.want)
		wait := b.RetryAfter(now)
		if n == 0 && wait == 0 {
			continue // Others have used up what came.
		}
		delete(b.waiters, host)
		q.answer(now, host, workspace, n, wait)
	}
	q.borrow(now, workspace, b, b.lacking())
}

func (q *Quotas) answer(now time.Time, host, workspace string, n int, wait time.Duration) {
	if host != q.host {
		q.send(host, Message{Lent: map[string]int{workspace: n}, WaitMs: map[string]int{workspace: int(wait.Milliseconds())}})
	} else if s := q.stocks[workspace]; s != nil {
		q.lent(now, s, n, wait)
	}
}
