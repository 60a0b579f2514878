// Package berylbranch holds the tokens of one workspace that a data centre has
// borrowed from the one that lends them.
//
// It answers a small workspace whose requests come from several data centres:
// fixed parts of a small rate and burst refuse any two requests that come at once
// in one place, although the sum is far below the rate. One data centre lends to
// all; another falls back on its part of the rate only after the lender did not
// answer for so long that it counts with that.
package berylbranch

import (
	"time"

	"berylspan/core/berylarrivals"
)

// Branch is not safe for concurrent use.
type Branch struct {
	tokens  int
	until   time.Time              // when the tokens expire
	demand  berylarrivals.Arrivals // tokens asked for here
	asked   time.Time
	pending bool
	tries   int       // questions in a row without an answer
	silent  time.Time // since the first of those
	denied  time.Time // until when there are none
}

// The times are those of one message between data centres and of three words.
const (
	aheadFor   = 0.1                    // seconds of demand that are borrowed ahead
	most       = 200                    // tokens
	life       = time.Second            // of borrowed tokens
	askTimeout = 40 * time.Millisecond  // until another instance is asked
	probe      = 200 * time.Millisecond // between two questions while nobody answers for long
	aloneAfter = 2 * time.Second        // without an answer
	aloneTries = 3                      // questions without an answer after the first, at least
	leastWait  = 20 * time.Millisecond  // between two questions after a denial
	mostWait   = 100 * time.Millisecond // as above
)

// Lend returns how many of the tokens asked for are lent from what is held.
func (b *Branch) Lend(now time.Time, want int) int {
	if !now.Before(b.until) {
		b.tokens = 0
	}
	n := min(want, b.tokens)
	b.tokens -= n
	return n
}

// Count records that tokens were asked for here.
func (b *Branch) Count(now time.Time, n int) { b.demand.Add(now, n) }

// Ask returns how many tokens to ask for now, 0 for none, when want are waited
// for; and how many questions before had no answer. Once alone, what is asked
// only finds out whether the lender answers again.
func (b *Branch) Ask(now time.Time, want int) (n, tries int) {
	ahead := min(int(b.demand.PerSecond(now)*aheadFor), most)
	if want == 0 && b.tokens >= (ahead+1)/2 {
		return 0, 0
	}
	wait := askTimeout
	if b.Alone(now) {
		wait = probe
	}
	if now.Before(b.denied) || (b.pending && now.Sub(b.asked) < wait) {
		return 0, 0
	}
	if b.pending {
		b.tries++
	} else {
		b.tries, b.silent = 0, now
	}
	b.pending, b.asked = true, now
	return max(want, ahead-b.tokens, 1), b.tries
}

// Lent takes in the lender's answer.
func (b *Branch) Lent(now time.Time, n int, wait time.Duration) {
	b.pending = false
	if n <= 0 {
		b.denied = now.Add(min(max(wait, leastWait), mostWait))
		return
	}
	if !now.Before(b.until) {
		b.tokens = 0
	}
	b.tokens += n
	b.until = now.Add(life)
	b.denied = time.Time{}
}

// Denied returns how long there are none.
func (b *Branch) Denied(now time.Time) time.Duration { return max(0, b.denied.Sub(now)) }

// Alone tells whether the lender has not answered for so long that the data
// centre's own part of the rate is to be used.
func (b *Branch) Alone(now time.Time) bool {
	return b.pending && b.tries >= aloneTries && now.Sub(b.silent) >= aloneAfter
}
