// Package beryllease implements the candidate's side of shard ownership.
package beryllease

import (
	"time"

	"berylspan/core/beryltiming"
)

// Lease is the ownership of one shard. It is held while a quorum of voters has
// promised the shard. Its duration counts from the request for votes, not from the
// answers, so that it ends before any of the promises that it is based on. Lease is
// not safe for concurrent use.
type Lease struct {
	term             beryltiming.Timing
	votes            map[string]time.Time // voter to start of the newest round in which it promised, zero if none
	quorum           int
	roundStart       time.Time
	acquiredAt       time.Time
	expiresAt        time.Time
	holder           string
	holderReportedAt time.Time
}

// New returns a lease that is not held.
func New(term beryltiming.Timing) *Lease { return &Lease{term: term, votes: map[string]time.Time{}} }

// MaxVoters is the number of instances, those that rank first for a shard, that vote
// on its ownership.
const MaxVoters = 7

// Quorum returns the number of promises needed from n voters. For odd n it is one
// more than a majority, so that two quorums share a voter even when the two lists
// that they are based on differ by one instance each. For even n a majority is
// enough for that. Two lists of one instance each are not covered.
func Quorum(n int) int { return min((n+1)/2+1, n) }

// StartRound starts a round of votes by the given voters and returns the start of the
// round, which must be passed to RecordVote with the answers.
func (l *Lease) StartRound(now time.Time, voters []string) time.Time {
	votes := make(map[string]time.Time, len(voters))
	for _, v := range voters {
		votes[v] = l.votes[v]
	}
	l.votes = votes
	l.quorum = Quorum(len(voters))
	l.roundStart = now
	return now
}

// RoundDue reports whether it is time to start the next round.
func (l *Lease) RoundDue(now time.Time) bool {
	return now.Sub(l.roundStart) >= l.term.PromiseTTL/4
}

// RecordVote records a voter's answer in the round that began at roundStart. holder is
// the owner of the shard according to the voter, empty if unknown.
func (l *Lease) RecordVote(now time.Time, voter string, roundStart time.Time, promised bool, holder string) {
	if holder != "" {
		l.holder, l.holderReportedAt = holder, now
	}
	previous, known := l.votes[voter]
	if !promised || !known {
		return
	}
	if roundStart.After(previous) {
		l.votes[voter] = roundStart
	}
	l.renew(now)
}

// renew extends the lease as far as the promises allow.
func (l *Lease) renew(now time.Time) {
	held := l.Held(now)
	end := l.quorumEnd()
	if !end.After(now) || !end.After(l.expiresAt) {
		return
	}
	if !held {
		l.acquiredAt = now
	}
	l.expiresAt = end
}

// quorumEnd returns the time at which fewer promises than the quorum remain valid, or
// the zero time when there is no quorum.
func (l *Lease) quorumEnd() time.Time {
	var newest time.Time
	for _, round := range l.votes {
		n := 0
		for _, other := range l.votes {
			if !other.IsZero() && !other.Before(round) {
				n++
			}
		}
		if n >= l.quorum && round.After(newest) {
			newest = round
		}
	}
	if newest.IsZero() {
		return newest
	}
	return newest.Add(l.term.ShortenForDrift(l.term.PromiseTTL))
}

// Held reports whether the shard is owned now.
func (l *Lease) Held(now time.Time) bool { return now.Before(l.expiresAt) }

// AcquiredAt returns when the current ownership began.
func (l *Lease) AcquiredAt() time.Time { return l.acquiredAt }

// ExpiresAt returns when the current ownership ends unless it is renewed.
func (l *Lease) ExpiresAt() time.Time { return l.expiresAt }

// Holder returns the owner that a voter reported last, or an empty string when that
// was longer ago than a promise lasts.
func (l *Lease) Holder(now time.Time) string {
	if now.Sub(l.holderReportedAt) > l.term.PromiseTTL {
		return ""
	}
	return l.holder
}

// Release ends the ownership and discards the promises.
func (l *Lease) Release() {
	l.expiresAt = time.Time{}
	for v := range l.votes {
		l.votes[v] = time.Time{}
	}
}
