// Package berylshardowner acquires the ownership of shards for this instance and handles the
// requests that other daemons send to voters and to the owners of shards.
package berylshardowner

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"berylspan/core/berylinvariant"
	"berylspan/core/berylshardmanager"
	"berylspan/core/berylshare"
	"berylspan/core/berylsnapshot"
	"berylspan/core/berylvote"
	"berylspan/io/berylclock"
	"berylspan/io/berylcontrolclients"
	"berylspan/io/berylloop"
	"berylspan/io/berylwire"
)

// Owner requests votes for shards, votes for other candidates and, for the shards that
// this instance owns, grants tokens and records idempotency keys. Its state is accessed
// only on the goroutine that calls Run. The other methods wait for that goroutine and
// are safe for concurrent use.
type Owner struct {
	self     string
	zone     string
	snapshot func() *berylsnapshot.Snapshot
	clients  *berylcontrolclients.Clients
	clock    berylclock.Clock
	guard    *berylinvariant.Guard
	loop     *berylloop.Loop
	requests sync.WaitGroup

	shards           *berylshardmanager.Manager
	share            *berylshare.Share
	remoteOwners     map[zoneShard]string // IDs of the owners of shards in other data centres, as last reported
	demandReportedAt time.Time
}

type zoneShard struct {
	zone  string
	shard int
}

const (
	tickInterval   = 50 * time.Millisecond
	requestTimeout = 300 * time.Millisecond
)

// Clock sets the clock.
func Clock(c berylclock.Clock) func(*Owner) { return func(o *Owner) { o.clock = c } }

// Guard sets the guard that invariants are checked with.
func Guard(g *berylinvariant.Guard) func(*Owner) { return func(o *Owner) { o.guard = g } }

// New returns an owner for the instance with the ID self in the data centre zone. Nothing
// is requested or answered before Run is called.
func New(self, zone string, snapshot func() *berylsnapshot.Snapshot, clients *berylcontrolclients.Clients, opts ...func(*Owner)) *Owner {
	o := &Owner{
		self:         self,
		zone:         zone,
		snapshot:     snapshot,
		clients:      clients,
		clock:        berylclock.BootClock,
		guard:        berylinvariant.New(),
		loop:         berylloop.New(),
		share:        berylshare.New(zone),
		remoteOwners: map[zoneShard]string{},
	}
	for _, opt := range opts {
		opt(o)
	}
	o.shards = berylshardmanager.New(self, o.clock(), berylshardmanager.WallTime(func(now, at time.Time) time.Time {
		return time.Now().Add(at.Sub(now))
	}))
	return o
}

// Run acquires and renews the ownership of shards and handles requests until ctx ends.
// It returns after the last of its own requests has ended.
func (o *Owner) Run(ctx context.Context) {
	o.loop.Run(ctx, tickInterval, func() { o.tick(ctx) })
	o.requests.Wait()
}

// Leave stops the requests for votes; ownerships are not renewed and expire.
func (o *Owner) Leave(ctx context.Context) error {
	return o.loop.Do(ctx, o.shards.Leave)
}

func (o *Owner) tick(ctx context.Context) {
	now := o.clock()
	s := o.snapshot()
	if s.Config == nil {
		return
	}
	o.share.SetConfig(now, s.Config)
	for _, voteRequest := range o.shards.Tick(now, s.Ranking(o.zone)) {
		o.sendVoteRequest(ctx, voteRequest, s.Addresses[voteRequest.Voter])
	}
	o.reportDemand(ctx, now, s)
}

func (o *Owner) sendVoteRequest(ctx context.Context, voteRequest berylvote.VoteRequest, addr string) {
	o.requests.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, requestTimeout)
		defer cancel()
		req := &berylwire.PromiseRequest{Candidate: o.self}
		for _, shard := range voteRequest.Shards {
			req.Shards = append(req.Shards, int32(shard))
		}
		reply, err := o.clients.For(addr).Promise(ctx, req)
		if err != nil || len(reply.Promised) != len(voteRequest.Shards) || len(reply.Holders) != len(voteRequest.Shards) {
			return
		}
		_ = o.loop.Post(ctx, func() {
			now := o.clock()
			for i, shard := range voteRequest.Shards {
				o.shards.RecordVote(now, voteRequest.Voter, voteRequest.RoundStart, shard, reply.Promised[i], reply.Holders[i])
			}
		})
	})
}

// Promise votes on a candidate's request for the ownership of shards.
func (o *Owner) Promise(ctx context.Context, req *berylwire.PromiseRequest) (*berylwire.PromiseReply, error) {
	reply := &berylwire.PromiseReply{}
	err := o.loop.Do(ctx, func() {
		now := o.clock()
		for _, shard := range req.Shards {
			promised, holder := o.shards.Vote(now, int(shard), req.Candidate)
			reply.Promised = append(reply.Promised, promised)
			reply.Holders = append(reply.Holders, holder)
		}
	})
	if err != nil {
		return nil, eris.Wrap(err, "promise")
	}
	return reply, nil
}
