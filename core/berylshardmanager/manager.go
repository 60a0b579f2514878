// Package berylshardmanager acquires the ownership of shards for an instance and votes on
// the ownership by other instances. An instance owns a shard while a quorum of the
// instances that rank first for it has promised it the shard. Promises expire and are
// kept in memory only. docs/decisions/rates.md argues why two instances never own the
// same shard at the same time.
package berylshardmanager

import (
	"cmp"
	"slices"
	"time"

	"berylspan/core/berylgranter"
	"berylspan/core/berylidempotency"
	"berylspan/core/beryllease"
	"berylspan/core/berylownership"
	"berylspan/core/berylpromise"
	"berylspan/core/berylshard"
	"berylspan/core/beryltiming"
	"berylspan/core/berylvote"
)

// Manager holds the leases that one instance has on shards, and the promises that it
// gave as a voter. It is not safe for concurrent use.
type Manager struct {
	self        string
	timing      beryltiming.Timing
	shardCount  int
	wallTime    func(now, at time.Time) time.Time
	promises    *berylpromise.Promises
	leases      []*beryllease.Lease
	ownerships  []*berylownership.Ownership
	requestedAt []time.Time
	lastTick    time.Time
	leaving     bool
}

const (
	maxTickGap         = 500 * time.Millisecond // a longer gap between ticks means that the process was paused
	candidacyTTL       = 5 * time.Second        // after a request for the shard
	candidatesPerShard = 3                      // highest-ranked instances, which may acquire a shard
)

// ShardCount sets the number of shards.
func ShardCount(n int) func(*Manager) { return func(m *Manager) { m.shardCount = n } }

// Timing sets the durations and the margin for clock drift.
func Timing(t beryltiming.Timing) func(*Manager) { return func(m *Manager) { m.timing = t } }

// WallTime sets the function that converts the reading at of the instance's clock into
// wall time; now is the current reading. By default readings are wall time already.
func WallTime(f func(now, at time.Time) time.Time) func(*Manager) {
	return func(m *Manager) { m.wallTime = f }
}

// New returns a manager for the instance with the ID self, which started at now.
func New(self string, now time.Time, opts ...func(*Manager)) *Manager {
	m := &Manager{
		self:       self,
		timing:     beryltiming.Default(),
		shardCount: berylshard.Count,
		wallTime:   func(_, at time.Time) time.Time { return at },
	}
	for _, opt := range opts {
		opt(m)
	}
	m.reset(now)
	return m
}

// reset discards all promises, leases and ownerships, as a restart of the process
// would.
func (m *Manager) reset(now time.Time) {
	m.promises = berylpromise.New(now, m.timing)
	m.leases = make([]*beryllease.Lease, m.shardCount)
	m.ownerships = make([]*berylownership.Ownership, m.shardCount)
	m.requestedAt = make([]time.Time, m.shardCount)
	for i := range m.leases {
		m.leases[i] = beryllease.New(m.timing)
	}
	m.lastTick = now
}

// Leave stops the requests for votes; the leases held are not renewed and expire.
func (m *Manager) Leave() { m.leaving = true }

// resetAfterPause resets the manager when the last tick is longer ago than maxTickGap.
// Shards promised to this instance before the pause may have been promised to others
// since, and its instance list may be out of date by the length of the pause.
func (m *Manager) resetAfterPause(now time.Time) {
	if m.timing.AbstainAfterRestart && now.Sub(m.lastTick) > maxTickGap {
		m.reset(now)
	}
}

// Tick must be called at least ten times a second. It returns the requests for votes
// to send to other instances; ranking ranks the instances of the own data centre.
func (m *Manager) Tick(now time.Time, ranking *berylshard.Ranking) []berylvote.VoteRequest {
	m.resetAfterPause(now)
	m.lastTick = now
	for shard := range m.ownerships {
		if ownership, _ := m.Ownership(now, shard); ownership != nil {
			ownership.Granter.EvictIdle(now)
		}
	}
	if m.leaving || m.promises.Abstains(now) {
		return nil
	}
	return m.requestVotes(now, ranking)
}

// requestVotes starts the rounds that are due for the shards that this instance should
// own. It votes at once where it is a voter itself, and returns one request for each
// of the other voters.
func (m *Manager) requestVotes(now time.Time, ranking *berylshard.Ranking) []berylvote.VoteRequest {
	shardsByVoter := map[string][]int{}
	for shard, lease := range m.leases {
		if !lease.RoundDue(now) || !m.shouldOwn(now, ranking, shard) {
			continue
		}
		voters := ranking.Top(beryllease.MaxVoters, shard)
		lease.StartRound(now, voters)
		for _, voter := range voters {
			shardsByVoter[voter] = append(shardsByVoter[voter], shard)
		}
	}
	var out []berylvote.VoteRequest
	for voter, shards := range shardsByVoter {
		if voter != m.self {
			out = append(out, berylvote.VoteRequest{Voter: voter, RoundStart: now, Shards: shards})
			continue
		}
		for _, shard := range shards {
			promised, holder := m.promises.Request(now, shard, m.self)
			m.leases[shard].RecordVote(now, voter, now, promised, holder)
		}
	}
	slices.SortFunc(out, func(a, b berylvote.VoteRequest) int { return cmp.Compare(a.Voter, b.Voter) })
	return out
}

// shouldOwn reports whether this instance should acquire or keep shard. The instance
// that ranks first always should. The other candidates, and a current owner that is no
// longer a candidate, should while they receive requests for the shard, which daemons
// send to them when they cannot reach the instances that rank higher.
func (m *Manager) shouldOwn(now time.Time, ranking *berylshard.Ranking, shard int) bool {
	requested := now.Sub(m.requestedAt[shard]) < candidacyTTL
	for rank, id := range ranking.Top(candidatesPerShard, shard) {
		if id == m.self {
			return rank == 0 || requested
		}
	}
	return m.leases[shard].Held(now) && requested
}

// RecordVote records a voter's answer to the request for votes with the given
// RoundStart. holder is the owner of the shard according to the voter, empty if
// unknown.
func (m *Manager) RecordVote(now time.Time, voter string, roundStart time.Time, shard int, promised bool, holder string) {
	m.resetAfterPause(now)
	if shard >= 0 && shard < m.shardCount {
		m.leases[shard].RecordVote(now, voter, roundStart, promised, holder)
	}
}

// Vote promises shard to candidate unless it is promised to another instance or this
// instance abstains. It returns whether it promised, and the instance that holds the
// promise, empty if unknown.
func (m *Manager) Vote(now time.Time, shard int, candidate string) (bool, string) {
	m.resetAfterPause(now)
	if shard < 0 || shard >= m.shardCount {
		return false, ""
	}
	return m.promises.Request(now, shard, candidate)
}

// OwnershipForRequest is Ownership on behalf of a request to the owner of shard. It
// also records the request, on which shouldOwn depends for the next candidacyTTL. An
// invalid shard has no owner.
func (m *Manager) OwnershipForRequest(now time.Time, shard int) (*berylownership.Ownership, string) {
	if shard < 0 || shard >= m.shardCount {
		return nil, ""
	}
	m.requestedAt[shard] = now
	return m.Ownership(now, shard)
}

// Ownership returns the state that this instance keeps as the owner of shard, and its
// own ID. When it does not own shard, it returns nil and the ID of the owner, empty if
// unknown.
func (m *Manager) Ownership(now time.Time, shard int) (*berylownership.Ownership, string) {
	lease := m.leases[shard]
	if !lease.Held(now) {
		m.ownerships[shard] = nil
		return nil, lease.Holder(now)
	}
	ownership := m.ownerships[shard]
	if ownership == nil || !ownership.AcquiredAt.Equal(lease.AcquiredAt()) {
		ownership = &berylownership.Ownership{
			AcquiredAt: lease.AcquiredAt(),
			Granter:    berylgranter.New(lease.AcquiredAt(), m.timing),
			Records:    berylidempotency.New(m.wallTime(now, lease.AcquiredAt())),
		}
		m.ownerships[shard] = ownership
	}
	ownership.ExpiresAt = lease.ExpiresAt()
	return ownership, m.self
}
