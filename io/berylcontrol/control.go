// Package berylcontrol owns the configuration in force and the membership and
// publishes them as snapshots.
package berylcontrol

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"berylspan/core/berylannouncement"
	"berylspan/core/berylentries"
	"berylspan/core/berylfinding"
	"berylspan/core/berylinstance"
	"berylspan/core/berylinvariant"
	"berylspan/core/berylmembership"
	"berylspan/core/berylsnapshot"
	"berylspan/io/berylcontrolclients"
	"berylspan/io/berylloop"
	"berylspan/io/berylplatform"
	"berylspan/io/berylwire"

	"github.com/rs/zerolog"
)

// Control keeps its state on one goroutine, started by Run.
type Control struct {
	self     berylinstance.Instance
	platform *berylplatform.Platform
	clients  *berylcontrolclients.Clients
	seeds    []string
	log      zerolog.Logger
	guard    *berylinvariant.Guard
	loop     *berylloop.Loop
	snapshot atomic.Pointer[berylsnapshot.Snapshot]
	senders  sync.WaitGroup
	ctx      context.Context // of Run; a request's ends before what it sets off
	calls    atomic.Int64
	rejected atomic.Pointer[[]berylfinding.Finding]

	ranks            ranks
	members          *berylmembership.Membership
	entries          berylentries.Entries
	digest           uint64
	history          []change
	revision         int64
	broken           bool      // the entries did not match their digest
	refused          int64     // highest revision that was rejected
	confirmed        time.Time // when the platform last answered somebody, as far as known
	synced           bool
	word             berylannouncement.Announcement
	begun            time.Time
	announced        time.Time
	pulled           time.Time
	readingLists     bool
	readingInstances bool
	next             int
}

const (
	tickEvery   = 100 * time.Millisecond
	pullEvery   = time.Second
	sayEvery    = 20 * time.Second
	readers     = 2
	moreReaders = 8 // at most this many more when nobody hears from the platform
	staleAfter  = 4 * time.Second
	staleStep   = 500 * time.Millisecond
	watchFor    = 10 * time.Second
	failPause   = time.Second
	syncTimeout = time.Second
	fanout      = 4
	near        = 8
	far         = 4
	wordsFor    = 10 * time.Second
	mostWords   = 64
	mostHistory = 256
)

// change is what one revision changed.
type change struct {
	from    int64
	to      int64
	changes berylentries.Entries
}

// Seeds sets addresses of daemons to ask before any list is known.
func Seeds(addrs []string) func(*Control) { return func(c *Control) { c.seeds = addrs } }

// New returns the control of the instance self.
func New(self berylinstance.Instance, platform *berylplatform.Platform, clients *berylcontrolclients.Clients, guard *berylinvariant.Guard, log zerolog.Logger, opts ...func(*Control)) *Control {
	now := time.Now()
	c := &Control{
		self:     self,
		platform: platform,
		clients:  clients,
		log:      log,
		guard:    guard,
		loop:     berylloop.New(),
		members:  berylmembership.New(),
		word:     berylannouncement.Announcement{Instance: self, Epoch: now.UnixNano()},
		begun:    now,
	}
	for _, o := range opts {
		o(c)
	}
	c.snapshot.Store(berylsnapshot.New(nil, nil))
	return c
}

// State returns the newest snapshot.
func (c *Control) State() *berylsnapshot.Snapshot { return c.snapshot.Load() }

// Calls returns how often this daemon called the platform.
func (c *Control) Calls() int64 { return c.calls.Load() }

// Rejected returns the findings of the newest lists when they were rejected.
func (c *Control) Rejected() []berylfinding.Finding {
	if p := c.rejected.Load(); p != nil {
		return *p
	}
	return nil
}

// Run owns the state until ctx ends.
func (c *Control) Run(ctx context.Context) {
	c.ctx = ctx
	_ = c.loop.Post(ctx, func() { c.start(ctx) })
	c.loop.Run(ctx, tickEvery, func() { c.tick(ctx) })
	c.senders.Wait()
}

// Leave tells the others that this instance takes no new work.
func (c *Control) Leave(ctx context.Context) error {
	return c.loop.Do(ctx, func() {
		c.self.Leaving = true
		c.say(time.Now())
		c.publish()
		c.push(none)
	})
}

func (c *Control) start(ctx context.Context) {
	c.say(time.Now())
	c.read(ctx, true)
	for _, addr := range c.seeds {
		c.sync(addr, none)
	}
}

func (c *Control) say(now time.Time) {
	c.word.Count++
	c.word.Instance = c.self
	c.announced = now
	c.members.ApplyAnnouncement(now, c.word)
}

func (c *Control) tick(ctx context.Context) {
	now := time.Now()
	if now.Sub(c.announced) > sayEvery {
		c.announced = now
		c.correct(now)
	}
	if now.Sub(c.pulled) > pullEvery {
		c.pulled = now.Add(-rand.N(pullEvery / 5))
		c.pull()
	}
	if c.reader(now) {
		c.read(ctx, false)
	}
}

// correct repeats this instance's word when the list is wrong about it.
func (c *Control) correct(now time.Time) {
	if c.members.ListContains(c.self) {
		return
	}
	c.say(now)
	c.publish()
	c.push(none)
}

// publish makes the present state visible to traffic.
func (c *Control) publish() {
	old := c.State()
	s := berylsnapshot.New(old.Config, c.members.Instances(time.Now()))
	s.Source, s.AcceptedAt = old.Source, old.AcceptedAt
	s.Leaving = c.self.Leaving
	s.Version = old.Version + 1
	c.snapshot.Store(s)
	c.ranks.known = false
}

// pull syncs with the next neighbour.
func (c *Control) pull() {
	ns := c.neighbours()
	if len(ns) == 0 {
		return
	}
	c.next++
	c.sync(ns[c.next%len(ns)], none)
}

// push syncs with several neighbours at once, after news. The changes since the
// base go along.
func (c *Control) push(base int64) {
	ns := c.neighbours()
	rand.Shuffle(len(ns), func(i, j int) { ns[i], ns[j] = ns[j], ns[i] })
	for _, addr := range ns[:min(fanout, len(ns))] {
		c.sync(addr, base)
	}
}

// none is a base of sync by which no configuration goes along.
const none = -1

// sync exchanges with addr what either side lacks. The changes since the base
// go along unasked.
func (c *Control) sync(addr string, base int64) {
	now := time.Now()
	req := &berylwire.SyncRequest{
		Revision: c.revision,
		Listed:   c.members.Revision(),
		Words:    words(c.members.RecentAnnouncements(now.Add(-wordsFor), mostWords)),
		Age:      c.age(now),
	}
	if base != none && c.revision > 0 {
		req.Config = c.config(base)
	}
	if c.broken {
		req.Revision = 0
	}
	c.senders.Go(func() {
		ctx, cancel := context.WithTimeout(c.ctx, syncTimeout)
		defer cancel()
		rep, err := c.clients.For(addr).Sync(ctx, req)
		if err != nil {
			return
		}
		_ = c.loop.Post(ctx, func() { c.answered(addr, base, rep) })
	})
}
