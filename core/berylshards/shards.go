// Package berylshards decides which shards an instance owns. An instance owns a
// shard while enough of the instances that rank first for it have promised it,
// for a bounded time and in memory only. docs/decisions/rates.md argues why two
// instances never own the same shard.
package berylshards

import (
	"cmp"
	"slices"
	"time"

	"berylspan/core/berylgranter"
	"berylspan/core/beryllease"
	"berylspan/core/berylowned"
	"berylspan/core/berylpromise"
	"berylspan/core/berylrepeat"
	"berylspan/core/berylshard"
	"berylspan/core/beryltiming"
	"berylspan/core/berylvote"
)

// Shards is the ownership and the votes of one instance. It is not safe for
// concurrent use. Wall turns a reading of the instance's clock into wall time.
type Shards struct {
	self     string
	term     beryltiming.Timing
	count    int
	wall     func(now, at time.Time) time.Time
	promises *berylpromise.Promises
	leases   []*beryllease.Lease
	owned    []*berylowned.Owned
	wanted   []time.Time
	ticked   time.Time
	leaving  bool
}

const (
	pauseGap   = 500 * time.Millisecond // between ticks that tells of a pause
	wantedFor  = 5 * time.Second
	candidates = 3 // instances, in rank, that may own a shard
)

// Count sets the number of shards.
func Count(n int) func(*Shards) { return func(s *Shards) { s.count = n } }

// Term sets the durations.
func Term(t beryltiming.Timing) func(*Shards) { return func(s *Shards) { s.term = t } }

// Wall sets how readings of the clock are turned into wall time.
func Wall(f func(now, at time.Time) time.Time) func(*Shards) {
	return func(s *Shards) { s.wall = f }
}

// New returns the shards of the instance self, started at now.
func New(self string, now time.Time, opts ...func(*Shards)) *Shards {
	s := &Shards{
		self:  self,
		term:  beryltiming.Default(),
		count: berylshard.Count,
		wall:  func(_, at time.Time) time.Time { return at },
	}
	for _, o := range opts {
		o(s)
	}
	s.start(now)
	return s
}

// start forgets everything, as a new process would.
func (s *Shards) start(now time.Time) {
	s.promises = berylpromise.New(now, s.term)
	s.leases = make([]*beryllease.Lease, s.count)
	s.owned = make([]*berylowned.Owned, s.count)
	s.wanted = make([]time.Time, s.count)
	for i := range s.leases {
		s.leases[i] = beryllease.New(s.term)
	}
	s.ticked = now
}

// Leave stops asking for ownership; what is owned runs out.
func (s *Shards) Leave() { s.leaving = true }

// awake starts anew after a pause: what was promised to this instance may be
// promised to others by now, and its list may be as old as the pause was long.
func (s *Shards) awake(now time.Time) {
	if s.term.AbstainAfterRestart && now.Sub(s.ticked) > pauseGap {
		s.start(now)
	}
}

// Tick is called often, at least ten times a second. It returns the ballots to
// send; the rank of instances comes from r.
func (s *Shards) Tick(now time.Time, r *berylshard.Ranking) []berylvote.VoteRequest {
	s.awake(now)
	s.ticked = now
	for shard := range s.owned {
		if own, _ := s.Own(now, shard); own != nil {
			own.Granter.EvictIdle(now)
		}
	}
	if s.leaving || s.promises.Abstains(now) {
		return nil
	}
	return s.ask(now, r)
}

func (s *Shards) ask(now time.Time, r *berylshard.Ranking) []berylvote.VoteRequest {
	by := map[string][]int{}
	for shard, l := range s.leases {
		if !l.RoundDue(now) || !s.candidate(now, r, shard) {
			continue
		}
		voters := r.Top(beryllease.MaxVoters, shard)
		l.StartRound(now, voters)
		for _, v := range voters {
			by[v] = append(by[v], shard)
		}
	}
	var out []berylvote.VoteRequest
	for v, shards := range by {
		if v != s.self {
			out = append(out, berylvote.VoteRequest{Voter: v, RoundStart: now, Shards: shards})
			continue
		}
		for _, shard := range shards {
			ok, holder := s.promises.Request(now, shard, s.self)
			s.leases[shard].RecordVote(now, v, now, ok, holder)
		}
	}
	slices.SortFunc(out, func(a, b berylvote.VoteRequest) int { return cmp.Compare(a.Voter, b.Voter) })
	return out
}

// candidate tells whether this instance should own shard: when it ranks first,
// or when holders that could not reach those before it asked it to.
func (s *Shards) candidate(now time.Time, r *berylshard.Ranking, shard int) bool {
	wanted := now.Sub(s.wanted[shard]) < wantedFor
	for rank, id := range r.Top(candidates, shard) {
		if id == s.self {
			return rank == 0 || wanted
		}
	}
	return s.leases[shard].Held(now) && wanted
}

// Answer records a voter's answer to the ballot with the given mark.
func (s *Shards) Answer(now time.Time, voter string, mark time.Time, shard int, ok bool, holder string) {
	s.awake(now)
	if shard >= 0 && shard < s.count {
		s.leases[shard].RecordVote(now, voter, mark, ok, holder)
	}
}

// Promise votes for a candidate and returns whether it did and who holds the
// shard, if known.
func (s *Shards) Promise(now time.Time, shard int, candidate string) (bool, string) {
	s.awake(now)
	if shard < 0 || shard >= s.count {
		return false, ""
	}
	return s.promises.Request(now, shard, candidate)
}

// Want is Own for somebody who needs the shard's owner.
func (s *Shards) Want(now time.Time, shard int) (*berylowned.Owned, string) {
	if shard < 0 || shard >= s.count {
		return nil, ""
	}
	s.wanted[shard] = now
	return s.Own(now, shard)
}

// Own returns what this instance knows as the owner of shard, or nil and who
// owns it, if known.
func (s *Shards) Own(now time.Time, shard int) (*berylowned.Owned, string) {
	l := s.leases[shard]
	if !l.Held(now) {
		s.owned[shard] = nil
		return nil, l.Holder(now)
	}
	own := s.owned[shard]
	if own == nil || !own.Since.Equal(l.AcquiredAt()) {
		own = &berylowned.Owned{
			Since:   l.AcquiredAt(),
			Granter: berylgranter.New(l.AcquiredAt(), s.term),
			Records: berylrepeat.New(s.wall(now, l.AcquiredAt())),
		}
		s.owned[shard] = own
	}
	own.Until = l.ExpiresAt()
	return own, s.self
}
