// Package berylpromise is the voter's side of shard ownership.
package berylpromise

import (
	"time"

	"berylspan/core/berylterm"
)

// Promises remembers, in memory only, to which candidate this instance has
// promised each shard and until when. A started instance has forgotten what it
// promised before, so it abstains until every such promise has run out. It is
// not safe for concurrent use.
type Promises struct {
	term  berylterm.Timing
	since time.Time
	held  map[int]promise
}

type promise struct {
	to    string
	until time.Time
}

// New returns the promises of an instance started at now.
func New(now time.Time, term berylterm.Timing) *Promises {
	p := &Promises{term: term, held: map[int]promise{}}
	if term.AbstainAfterRestart {
		p.since = now.Add(term.ExtendForDrift(term.PromiseTTL))
	}
	return p
}

// Abstains tells whether promises of an earlier start may still stand.
func (p *Promises) Abstains(now time.Time) bool { return now.Before(p.since) }

// Ask promises shard to candidate unless another holds it or the instance still
// abstains. It returns whether it promised and who holds the shard, empty when
// nobody is known to.
func (p *Promises) Ask(now time.Time, shard int, candidate string) (bool, string) {
	if p.Abstains(now) {
		return false, ""
	}
	h, ok := p.held[shard]
	if ok && h.to != candidate && now.Before(h.until) {
		return false, h.to
	}
	p.held[shard] = promise{to: candidate, until: now.Add(p.term.ExtendForDrift(p.term.PromiseTTL))}
	return true, candidate
}

// Free ends the promise of shard to candidate early, at the candidate's word
// that it has stopped for good.
func (p *Promises) Free(shard int, candidate string) {
	if p.held[shard].to == candidate {
		delete(p.held, shard)
	}
}
