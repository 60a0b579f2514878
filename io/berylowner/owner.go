// Package berylowner runs the ownership of shards: it sends ballots and answers
// those who need an owner.
package berylowner

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
	"berylspan/io/berylclients"
	"berylspan/io/berylclock"
	"berylspan/io/berylloop"
	"berylspan/io/berylwire"
)

// Owner keeps its state on one goroutine, started by Run.
type Owner struct {
	self    string
	zone    string
	state   func() *berylsnapshot.Snapshot
	clients *berylclients.Clients
	clock   berylclock.Clock
	guard   *berylinvariant.Guard
	loop    *berylloop.Loop
	senders sync.WaitGroup

	shards *berylshardmanager.Manager
	share  *berylshare.Share
	owners map[place]string // owners of shards in other data centres
	told   time.Time
}

type place struct {
	zone  string
	shard int
}

const (
	tickEvery  = 50 * time.Millisecond
	askTimeout = 300 * time.Millisecond
)

// Clock sets the clock.
func Clock(c berylclock.Clock) func(*Owner) { return func(o *Owner) { o.clock = c } }

// Guard sets the guard that invariants are checked with.
func Guard(g *berylinvariant.Guard) func(*Owner) { return func(o *Owner) { o.guard = g } }

// New returns an owner for the instance self of zone.
func New(self, zone string, state func() *berylsnapshot.Snapshot, clients *berylclients.Clients, opts ...func(*Owner)) *Owner {
	o := &Owner{
		self:    self,
		zone:    zone,
		state:   state,
		clients: clients,
		clock:   berylclock.BootClock,
		guard:   berylinvariant.New(),
		loop:    berylloop.New(),
		share:   berylshare.New(zone),
		owners:  map[place]string{},
	}
	for _, f := range opts {
		f(o)
	}
	o.shards = berylshardmanager.New(self, o.clock(), berylshardmanager.WallTime(func(now, at time.Time) time.Time {
		return time.Now().Add(at.Sub(now))
	}))
	return o
}

// Run owns the state until ctx ends.
func (o *Owner) Run(ctx context.Context) {
	o.loop.Run(ctx, tickEvery, func() { o.tick(ctx) })
	o.senders.Wait()
}

// Leave stops asking for ownership.
func (o *Owner) Leave(ctx context.Context) error {
	return o.loop.Do(ctx, o.shards.Leave)
}

func (o *Owner) tick(ctx context.Context) {
	now := o.clock()
	s := o.state()
	if s.Config == nil {
		return
	}
	o.share.SetConfig(now, s.Config)
	for _, b := range o.shards.Tick(now, s.Ranking(o.zone)) {
		o.ask(ctx, b, s.Addresses[b.Voter])
	}
	o.tell(ctx, now, s)
}

func (o *Owner) ask(ctx context.Context, b berylvote.VoteRequest, addr string) {
	o.senders.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, askTimeout)
		defer cancel()
		req := &berylwire.PromiseRequest{Candidate: o.self}
		for _, shard := range b.Shards {
			req.Shards = append(req.Shards, int32(shard))
		}
		rep, err := o.clients.For(addr).Promise(ctx, req)
		if err != nil || len(rep.Promised) != len(b.Shards) || len(rep.Holders) != len(b.Shards) {
			return
		}
		_ = o.loop.Post(ctx, func() {
			now := o.clock()
			for i, shard := range b.Shards {
				o.shards.RecordVote(now, b.Voter, b.RoundStart, shard, rep.Promised[i], rep.Holders[i])
			}
		})
	})
}

// Promise answers a candidate.
func (o *Owner) Promise(ctx context.Context, req *berylwire.PromiseRequest) (*berylwire.PromiseReply, error) {
	rep := &berylwire.PromiseReply{}
	err := o.loop.Do(ctx, func() {
		now := o.clock()
		for _, shard := range req.Shards {
			ok, holder := o.shards.Vote(now, int(shard), req.Candidate)
			rep.Promised = append(rep.Promised, ok)
			rep.Holders = append(rep.Holders, holder)
		}
	})
	if err != nil {
		return nil, eris.Wrap(err, "promise")
	}
	return rep, nil
}
