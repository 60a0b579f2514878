// Package berylpromise implements the voter's side of shard ownership.
package berylpromise

import (
	"time"

	"berylspan/core/beryltiming"
)

// Promises records to which candidate this instance has promised each shard, and
// until when. It is kept in memory only: a restarted instance has lost its earlier
// promises and abstains until all of them have expired. Promises is not safe for
// concurrent use.
type Promises struct {
	term         beryltiming.Timing
	abstainUntil time.Time
	byShard      map[int]promise
}

type promise struct {
	candidate string
	expires   time.Time
}

// New returns the promises of an instance that started at now.
func New(now time.Time, term beryltiming.Timing) *Promises {
	p := &Promises{term: term, byShard: map[int]promise{}}
	if term.AbstainAfterRestart {
		p.abstainUntil = now.Add(term.ExtendForDrift(term.PromiseTTL))
	}
	return p
}

// Abstains reports whether promises made before the last start may still be valid.
func (p *Promises) Abstains(now time.Time) bool { return now.Before(p.abstainUntil) }

// Request promises shard to candidate, or renews the promise, unless the shard is
// promised to another candidate or the instance still abstains. It returns whether
// it promised, and the candidate that holds the promise, empty if unknown.
func (p *Promises) Request(now time.Time, shard int, candidate string) (bool, string) {
	if p.Abstains(now) {
		return false, ""
	}
	current, ok := p.byShard[shard]
	if ok && current.candidate != candidate && now.Before(current.expires) {
		return false, current.candidate
	}
	p.byShard[shard] = promise{candidate: candidate, expires: now.Add(p.term.ExtendForDrift(p.term.PromiseTTL))}
	return true, candidate
}

// Release ends the promise of shard to candidate before it expires. The candidate
// must have said that it has permanently stopped owning the shard.
func (p *Promises) Release(shard int, candidate string) {
	if p.byShard[shard].candidate == candidate {
		delete(p.byShard, shard)
	}
}
