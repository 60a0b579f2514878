// Package beryllease is the candidate's side of shard ownership.
package beryllease

import (
	"time"

	"berylspan/core/berylterm"
)

// Lease is the ownership of one shard, held while enough voters have promised
// it. The time counts from when the votes were asked for, so that it ends
// before any promise does. It is not safe for concurrent use.
type Lease struct {
	term   berylterm.Timing
	voters map[string]time.Time
	quorum int
	asked  time.Time
	since  time.Time
	until  time.Time
	holder string
	seen   time.Time
}

// New returns a lease that is not held.
func New(term berylterm.Timing) *Lease { return &Lease{term: term, voters: map[string]time.Time{}} }

// Voters is the number of instances, next in rank for a shard, whose promises
// decide about it.
const Voters = 7

// Quorum returns the promises needed of n voters. It is above the majority, so
// that two quorums share a voter even when the two lists they follow differ by
// one instance each.
func Quorum(n int) int { return min((n+1)/2+1, n) }

// Ask begins a round with the given voters and returns its mark, which the
// answers must carry.
func (l *Lease) Ask(now time.Time, voters []string) time.Time {
	known := make(map[string]time.Time, len(voters))
	for _, v := range voters {
		known[v] = l.voters[v]
	}
	l.voters = known
	l.quorum = Quorum(len(voters))
	l.asked = now
	return now
}

// Due tells whether it is time to ask for votes again.
func (l *Lease) Due(now time.Time) bool {
	return now.Sub(l.asked) >= l.term.PromiseTTL/4
}

// Answer records a voter's answer to the round that began at mark. Holder is
// who the voter says owns the shard.
func (l *Lease) Answer(now time.Time, voter string, mark time.Time, ok bool, holder string) {
	if holder != "" {
		l.holder, l.seen = holder, now
	}
	old, is := l.voters[voter]
	if !ok || !is {
		return
	}
	if mark.After(old) {
		l.voters[voter] = mark
	}
	l.renew(now)
}

// renew sets the end of the lease from the promises that are still good.
func (l *Lease) renew(now time.Time) {
	held := l.Held(now)
	end := l.end()
	if !end.After(now) || !end.After(l.until) {
		return
	}
	if !held {
		l.since = now
	}
	l.until = end
}

// end is the time at which the promises fall below the quorum.
func (l *Lease) end() time.Time {
	var best time.Time
	for _, at := range l.voters {
		n := 0
		for _, other := range l.voters {
			if !other.IsZero() && !other.Before(at) {
				n++
			}
		}
		if n >= l.quorum && at.After(best) {
			best = at
		}
	}
	if best.IsZero() {
		return best
	}
	return best.Add(l.term.ShortenForDrift(l.term.PromiseTTL))
}

// Held tells whether the shard is owned now.
func (l *Lease) Held(now time.Time) bool { return now.Before(l.until) }

// Since returns when the ownership that holds now began.
func (l *Lease) Since() time.Time { return l.since }

// Until returns when the ownership ends unless it is renewed.
func (l *Lease) Until() time.Time { return l.until }

// Holder returns the owner that voters named during the last term.
func (l *Lease) Holder(now time.Time) string {
	if now.Sub(l.seen) > l.term.PromiseTTL {
		return ""
	}
	return l.holder
}

// Drop gives the ownership up.
func (l *Lease) Drop() {
	l.until = time.Time{}
	for v := range l.voters {
		l.voters[v] = time.Time{}
	}
}
