// Package berylborrower holds the tokens of one workspace that a data centre has
// borrowed from the data centre that lends them.
//
// It handles a small workspace whose requests come from several data centres: fixed
// shares of a small rate and burst refuse any two simultaneous requests in one data
// centre, although their sum is far below the rate. Instead, one data centre lends
// to all others. A borrowing data centre falls back on its own share of the rate only
// after such a long time without a reply that the lender has reserved that share.
package berylborrower

import (
	"time"

	"berylspan/core/berylarrivals"
)

// Borrower holds borrowed tokens and decides when to request more. The zero value
// holds none. It is not safe for concurrent use.
type Borrower struct {
	tokens          int
	expiresAt       time.Time              // of all tokens
	demand          berylarrivals.Arrivals // tokens wanted in this data centre
	requestedAt     time.Time              // of the last borrow request
	pending         bool                   // the last borrow request has no reply yet
	retries         int                    // borrow requests since the first without a reply
	unansweredSince time.Time              // time of that first request
	deniedUntil     time.Time              // the lender has no tokens before
}

// The times follow from the delay of one message between data centres and the time
// of three gossip messages.
const (
	prefetchSeconds       = 0.1 // of demand that is borrowed ahead
	maxPrefetchTokens     = 200
	tokenLifetime         = time.Second
	replyTimeout          = 40 * time.Millisecond  // before another instance of the lending data centre is asked
	probeInterval         = 200 * time.Millisecond // between two borrow requests while the lender is unreachable
	unreachableAfter      = 2 * time.Second        // without a reply
	unreachableMinRetries = 3                      // further borrow requests without a reply after the first
	minDenialTime         = 20 * time.Millisecond  // without borrow requests after a denial, at least
	maxDenialTime         = 100 * time.Millisecond // without borrow requests after a denial, at most
)

// Take takes up to want of the tokens held and returns how many it took.
func (b *Borrower) Take(now time.Time, want int) int {
	if !now.Before(b.expiresAt) {
		b.tokens = 0
	}
	n := min(want, b.tokens)
	b.tokens -= n
	return n
}

// RecordDemand records that n tokens are wanted in this data centre.
func (b *Borrower) RecordDemand(now time.Time, n int) { b.demand.Add(now, n) }

// StartBorrow starts a borrow request if one is due, given that want tokens are being
// waited for. It returns the number of tokens to request, 0 for no request, and how
// many requests in a row before this one had no reply. While the lender is unreachable,
// requests only probe whether it replies again.
func (b *Borrower) StartBorrow(now time.Time, want int) (n, retries int) {
	prefetch := min(int(b.demand.PerSecond(now)*prefetchSeconds), maxPrefetchTokens)
	if want == 0 && b.tokens >= (prefetch+1)/2 {
		return 0, 0
	}
	interval := replyTimeout
	if b.LenderUnreachable(now) {
		interval = probeInterval
	}
	if now.Before(b.deniedUntil) || (b.pending && now.Sub(b.requestedAt) < interval) {
		return 0, 0
	}
	if b.pending {
		b.retries++
	} else {
		b.retries, b.unansweredSince = 0, now
	}
	b.pending, b.requestedAt = true, now
	return max(want, prefetch-b.tokens, 1), b.retries
}

// HandleReply records the lender's reply: n tokens or, if n is 0, how long to wait for
// the next.
func (b *Borrower) HandleReply(now time.Time, n int, wait time.Duration) {
	b.pending = false
	if n <= 0 {
		b.deniedUntil = now.Add(min(max(wait, minDenialTime), maxDenialTime))
		return
	}
	if !now.Before(b.expiresAt) {
		b.tokens = 0
	}
	b.tokens += n
	b.expiresAt = now.Add(tokenLifetime)
	b.deniedUntil = time.Time{}
}

// RetryAfter returns how long the lender's last denial still holds.
func (b *Borrower) RetryAfter(now time.Time) time.Duration { return max(0, b.deniedUntil.Sub(now)) }

// LenderUnreachable reports whether the lender has not replied for so long that the
// data centre falls back on its own share of the rate.
func (b *Borrower) LenderUnreachable(now time.Time) bool {
	return b.pending && b.retries >= unreachableMinRetries && now.Sub(b.unansweredSince) >= unreachableAfter
}
