package berylratelimiter

import (
	"slices"
	"time"

	"berylspan/core/berylaccount"
	"berylspan/core/berylborrower"
)

// zoneBorrower holds what this instance borrows for its data centre of a workspace whose
// tokens another data centre lends.
type zoneBorrower struct {
	berylborrower.Borrower
	lendingHosts []string                  // instances of the lending data centre in the order in which they are asked
	waiting      map[string]waitingRequest // instances that wait for a reply, by host
}

type waitingRequest struct {
	tokens     int
	receivedAt time.Time
}

// maxBorrowTokens limits a borrow request between data centres. It is the prefetch of a
// data centre with a demand of 2000 requests per second.
const maxBorrowTokens = 200

// borrower returns the borrower of a workspace, or nil if the own data centre lends its
// tokens.
func (l *RateLimiter) borrower(workspace string) *zoneBorrower {
	if b := l.borrowers[workspace]; b != nil {
		return b
	}
	if l.lendingZoneHosts == nil {
		return nil
	}
	lendingHosts := l.lendingZoneHosts(workspace)
	if len(lendingHosts) == 0 {
		return nil
	}
	b := &zoneBorrower{lendingHosts: lendingHosts, waiting: map[string]waitingRequest{}}
	l.borrowers[workspace] = b
	return b
}

// borrow sends a borrow request to the lending data centre if one is due. Each retry
// goes to another of its instances, which forwards the request to the lender.
func (l *RateLimiter) borrow(now time.Time, workspace string, b *zoneBorrower, want int) {
	if n, retries := b.StartBorrow(now, want); n > 0 {
		l.send(b.lendingHosts[retries%len(b.lendingHosts)], Message{ZoneRequested: map[string]int{workspace: n}})
	}
}

// lendBorrowed lends from the tokens that the data centre has borrowed. If it has none,
// the requester waits for the lending data centre and gets its reply later.
func (l *RateLimiter) lendBorrowed(now time.Time, a *berylaccount.Account, b *zoneBorrower, requester string, want int) (n int, wait time.Duration, answered bool) {
	b.RecordDemand(now, want)
	if b.LenderUnreachable(now) {
		l.borrow(now, a.Workspace, b, want)
		n, wait = l.bucket(now, a).Lend(now, want)
		return n, wait, true
	}
	if n = b.Take(now, want); n > 0 {
		l.borrow(now, a.Workspace, b, 0)
		return n, 0, true
	}
	if wait = b.RetryAfter(now); wait > 0 {
		return 0, wait, true
	}
	b.waiting[requester] = waitingRequest{want, now}
	l.borrow(now, a.Workspace, b, b.tokensWanted())
	return 0, 0, false
}

// tokensWanted returns how many tokens the waiting instances want.
func (b *zoneBorrower) tokensWanted() int {
	total := 0
	for _, request := range b.waiting {
		total += request.tokens
	}
	return total
}

// lendToZone replies to borrow requests from another data centre. An instance that is
// not the lender forwards a request to it, but only once.
func (l *RateLimiter) lendToZone(now time.Time, from string, m Message, findAccount func(workspace string) *berylaccount.Account) {
	requester, forwarded := from, m.Requester != ""
	if forwarded {
		requester = m.Requester
	}
	for workspace, want := range m.ZoneRequested {
		a := findAccount(workspace)
		if a == nil {
			continue // The requester retries with another instance.
		}
		switch lender := l.lenderHost(workspace); {
		case lender == l.host && l.borrower(workspace) == nil:
			n, wait := l.bucket(now, a).Lend(now, min(want, maxBorrowTokens))
			l.send(requester, Message{ZoneLent: map[string]int{workspace: n}, RetryAfterMs: map[string]int{workspace: int(wait.Milliseconds())}})
		case lender != l.host && !forwarded:
			l.send(lender, Message{ZoneRequested: map[string]int{workspace: want}, Requester: requester})
		}
	}
}

// handleZoneReply adds the tokens of the lending data centre and replies to the waiting
// instances. The fallback bucket is dropped, as the own share of the rate only counts
// while the lending data centre does not reply.
func (l *RateLimiter) handleZoneReply(now time.Time, from, workspace string, n int, wait time.Duration) {
	b := l.borrowers[workspace]
	if b == nil || !slices.Contains(b.lendingHosts, from) {
		return // This instance no longer borrows for the workspace, or not from there.
	}
	delete(l.lenders, workspace)
	b.HandleReply(now, n, wait)
	for host, request := range b.waiting {
		if now.Sub(request.receivedAt) > replyTimeout {
			delete(b.waiting, host)
			continue
		}
		n := b.Take(now, request.tokens)
		wait := b.RetryAfter(now)
		if n == 0 && wait == 0 {
			continue // Other instances have taken all tokens of this reply.
		}
		delete(b.waiting, host)
		l.reply(now, host, workspace, n, wait)
	}
	l.borrow(now, workspace, b, b.tokensWanted())
}

func (l *RateLimiter) reply(now time.Time, host, workspace string, n int, wait time.Duration) {
	if host != l.host {
		l.send(host, Message{Lent: map[string]int{workspace: n}, RetryAfterMs: map[string]int{workspace: int(wait.Milliseconds())}})
	} else if c := l.caches[workspace]; c != nil {
		l.handleReply(now, c, n, wait)
	}
}
