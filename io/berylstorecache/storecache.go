// Package berylstorecache keeps a copy of the configuration and the server list that are
// published in the store.
//
// Few instances read the store. An instance reads it while its copy is older than a
// threshold that grows with the rank of the instance among the live ones. The others
// fetch what it has read from it.
package berylstorecache

import (
	"context"
	"errors"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"berylspan/core/beryldepartures"
	"berylspan/core/berylevacuation"
	"berylspan/core/berylhistory"
	"berylspan/core/berylregistration"
	"berylspan/io/berylclock"
	"berylspan/io/berylloop"
	"berylspan/io/berylpanic"

	"github.com/rs/zerolog"
)

// StoreCache is an instance's copy of the published configuration and server list. It is
// safe for concurrent use; the goroutine of Run makes all changes.
type StoreCache struct {
	source       Source
	fetch        func(ctx context.Context, addr string, k KnownVersions) (*Snapshot, error)
	startupPeers func(servers []berylregistration.Registration) []string
	rank         func() int // of this instance among the live ones, from 0
	onChange     func(from string)
	log          zerolog.Logger
	clock        berylclock.Clock
	guard        func(part string, f func()) bool
	loop         *berylloop.Loop
	state        atomic.Pointer[State]
	reads        atomic.Int64 // of the store

	// Owned by the loop.
	reading             bool
	fetching            bool
	historyLost         bool // the store has discarded the changes after the known revision
	readStartedAt       time.Time
	lastFullReadAt      time.Time
	lastReadFailed      bool
	outageEndedAt       time.Time                            // when the store could be read again after its last outage
	pendingRemovals     map[string]time.Time                 // servers that the store no longer holds, until their removal
	pendingRemovalsCopy atomic.Pointer[map[string]time.Time] // for other goroutines
	departures          *beryldepartures.Departures
	recheckAt           time.Time // when the store is read again because entries of a restored store were left out; zero if none were
	needFullList        bool      // the changes from a peer did not lead to the peer's list

	mu      sync.Mutex
	changes *berylhistory.History
}

// KnownVersions is what an instance already has when it fetches a snapshot from another.
type KnownVersions struct {
	ConfigVersion  int64
	ChangeRevision int64  // of the server list; 0 to fetch all of it
	Digest         uint64 // of the server list
}

// Snapshot is what one instance sends to another. Servers and RemovedIDs are the changes
// to the server list since BaseRevision, or Servers is the full list if that is 0.
type Snapshot struct {
	ConfigVersion    int64                            `cbor:"1,keyasint"`
	RawConfig        []byte                           `cbor:"2,keyasint,omitempty"` // nil if the requester has it
	ChangeRevision   int64                            `cbor:"3,keyasint"`
	Revision         int64                            `cbor:"4,keyasint"`
	AgeMs            int64                            `cbor:"5,keyasint"`
	Servers          []berylregistration.Registration `cbor:"6,keyasint"`
	PendingRemovalMs map[string]int64                 `cbor:"7,keyasint,omitempty"` // until removal, by ID of a server that the store no longer holds
	BaseRevision     int64                            `cbor:"8,keyasint,omitempty"`
	RemovedIDs       []string                         `cbor:"9,keyasint,omitempty"`
	Digest           uint64                           `cbor:"10,keyasint,omitempty"`
	Era              int64                            `cbor:"11,keyasint,omitempty"` // that the revisions belong to
	Evacuated        *berylevacuation.Zones           `cbor:"12,keyasint,omitempty"` // nil from an instance that does not know of evacuations
}

const (
	loopInterval      = 100 * time.Millisecond
	readInterval      = 400 * time.Millisecond  // between two reads by one instance; a fifth of the time within which a change must be in force
	retryInterval     = 700 * time.Millisecond  // after a failed read
	maxWatchTime      = time.Second             // that the store may hold a read while nothing changes
	readTimeout       = 1500 * time.Millisecond // including the time that the store holds the read
	secondRankReadAge = 900 * time.Millisecond  // age of the copy from which the instance of rank 1 reads the store
	readAgePerRank    = 250 * time.Millisecond  // more for each further rank
	maxReadAge        = 1800 * time.Millisecond
	fetchTimeout      = time.Second
	removalDelay      = 2 * time.Second        // after an outage, within which servers that were removed during it come back
	copiedDelay       = 500 * time.Millisecond // added to a removal that was copied from a peer, see handleSnapshot
	outageThreshold   = 3 * time.Second        // age of the copy that counts as an outage
	fullReadInterval  = 8 * time.Second        // in case a change was missed
)

// Fetch sets the function that fetches a snapshot from another instance.
func Fetch(f func(ctx context.Context, addr string, k KnownVersions) (*Snapshot, error)) func(*StoreCache) {
	return func(c *StoreCache) { c.fetch = f }
}

// Rank sets the function that returns the rank of this instance among the live ones, from
// 0.
func Rank(f func() int) func(*StoreCache) { return func(c *StoreCache) { c.rank = f } }

// OnChange sets the function that is called after each relevant change, with the address
// of the instance that it was fetched from or "" if it was read from the store.
func OnChange(f func(from string)) func(*StoreCache) { return func(c *StoreCache) { c.onChange = f } }

// Clock sets the clock.
func Clock(clock berylclock.Clock) func(*StoreCache) { return func(c *StoreCache) { c.clock = clock } }

// Guard sets the function that runs the handling of one read or snapshot and reports whether
// it returned without a panic. After a panic the whole list is read again.
func Guard(run func(part string, f func()) bool) func(*StoreCache) {
	return func(c *StoreCache) { c.guard = run }
}

// New returns an empty cache. It reads nothing before Run.
func New(source Source, log zerolog.Logger, opts ...func(*StoreCache)) *StoreCache {
	c := &StoreCache{source: source, log: log, clock: berylclock.BootClock, guard: berylpanic.Unguarded, loop: berylloop.New(), rank: func() int { return 0 }, startupPeers: func([]berylregistration.Registration) []string { return nil }, onChange: func(string) {}, pendingRemovals: map[string]time.Time{}, changes: berylhistory.New(), departures: beryldepartures.New()}
	for _, opt := range opts {
		opt(c)
	}
	c.state.Store(&State{})
	return c
}

// State returns the current state.
func (c *StoreCache) State() *State { return c.state.Load() }

// Age returns the time since the store was last known to hold the current state.
func (c *StoreCache) Age() time.Duration { return c.clock().Sub(c.State().ConfirmedAt) }

// StoreReads returns the number of reads of the store by this instance.
func (c *StoreCache) StoreReads() int64 { return c.reads.Load() }

// Run keeps the cache up to date until ctx ends.
func (c *StoreCache) Run(ctx context.Context) {
	c.readIfDue(ctx)
	c.loop.Run(ctx, loopInterval, func() { c.guarded(func() { c.readIfDue(ctx) }) })
}

const panicPart = "published lists" // in logs and metrics

// guarded runs a function of the loop. The state is replaced as a whole, so that a panic
// leaves the previous one. What the loop knows of reads is reset.
func (c *StoreCache) guarded(f func()) {
	if !c.guard(panicPart, f) {
		c.reading, c.fetching = false, false
		c.historyLost, c.needFullList = true, true
	}
}

// readIfDue removes the servers whose removal is due and starts a read of the store if
// one is due at this instance.
func (c *StoreCache) readIfDue(ctx context.Context) {
	now := c.clock()
	c.expirePendingRemovals(now)
	interval := readInterval
	if c.lastReadFailed {
		interval = retryInterval
	}
	s := c.State()
	recheck := !c.recheckAt.IsZero() && now.After(c.recheckAt)
	if c.reading || now.Sub(c.readStartedAt) < interval || (s.Config != nil && now.Sub(s.ConfirmedAt) < c.readAge() && !recheck) {
		return
	}
	if recheck {
		c.historyLost, c.recheckAt = true, time.Time{}
	}
	c.reading, c.readStartedAt = true, now
	full := c.historyLost || s.Revision == 0 || now.Sub(c.lastFullReadAt) > fullReadInterval
	go c.readStore(ctx, full, s.Revision) // Ends within readTimeout.
}

// readAge returns the age of the copy from which this instance reads the store.
func (c *StoreCache) readAge() time.Duration {
	rank := c.rank()
	if rank == 0 {
		return 0
	}
	return min(secondRankReadAge+time.Duration(rank-1)*readAgePerRank, maxReadAge)
}

func (c *StoreCache) readStore(ctx context.Context, full bool, after int64) {
	c.reads.Add(1)
	readCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	var result *ReadResult
	var err error
	returned := c.guard(panicPart, func() {
		if full {
			result, err = c.source.ReadAll(readCtx)
		} else {
			result, err = c.source.WaitForChanges(readCtx, after, maxWatchTime)
		}
	})
	if !returned {
		err = berylpanic.ErrPanic
	}
	var snapshots map[string]*Snapshot
	if err == nil && c.State().Config == nil {
		snapshots = c.fetchAtStartup(ctx, result)
	}
	// Fails only after Run has ended.
	_ = c.loop.Post(ctx, func() {
		for addr, snapshot := range snapshots {
			c.guarded(func() { c.handleSnapshot(addr, KnownVersions{}, snapshot, nil) })
		}
		c.guarded(func() { c.handleRead(result, err) })
	})
}

func (c *StoreCache) handleRead(result *ReadResult, err error) {
	c.reading = false
	now := c.clock()
	if err != nil {
		if errors.Is(err, ErrCompacted) {
			c.historyLost = true
		}
		if !c.lastReadFailed {
			c.log.Warn().Err(err).Int64("revision", c.State().Revision).Msg("store lost")
		}
		c.lastReadFailed = true
		return
	}
	if c.lastReadFailed {
		c.log.Info().Int64("revision", result.Revision).Msg("store regained")
	}
	c.lastReadFailed, c.historyLost = false, c.historyLost && !result.Full
	s := c.State()
	if result.Era > s.Era && !s.ConfirmedAt.IsZero() {
		c.log.Info().Int64("era", result.Era).Int64("knownera", s.Era).Int64("revision", result.Revision).Int64("known", s.Revision).Bool("full", result.Full).Msg("store era")
		if !result.Full {
			// The changes follow a revision of another era.
			c.historyLost, c.readStartedAt = true, time.Time{}
			return
		}
		c.outageEndedAt = now // Servers that registered after the copy was made are about to come back.
	}
	if comparePosition(result.Era, result.Revision, s.Era, s.Revision) < 0 {
		c.log.Info().Int64("era", result.Era).Int64("knownera", s.Era).Int64("revision", result.Revision).Int64("known", s.Revision).Msg("read overtaken by a peer")
		result = &ReadResult{Era: s.Era, Config: result.Config, RawConfig: result.RawConfig, Findings: result.Findings}
	}
	if result.Full {
		c.lastFullReadAt = now
	}
	if !s.ConfirmedAt.IsZero() && now.Sub(s.ConfirmedAt) > outageThreshold {
		c.outageEndedAt = now
	}
	for _, finding := range result.Findings {
		c.log.Warn().Str("finding", finding).Msg("published item refused")
	}
	c.applyRead(now, result)
}

// applyRead sets the state that follows from the current one and a read.
func (c *StoreCache) applyRead(now time.Time, result *ReadResult) {
	old := c.State()
	s := *old
	s.ConfirmedAt = now
	restored := result.Era > old.Era
	if restored {
		s.Era, s.Revision, s.ChangeRevision = result.Era, result.Revision, result.Revision
	}
	s.Revision = max(s.Revision, result.Revision)
	changed := restored
	// A configuration from a copy may be older than the known one, which is published again.
	if result.Config != nil && (old.Config == nil || result.Config.Version > old.Config.Version) {
		s.Config, s.RawConfig = result.Config, result.RawConfig
		changed = true
		c.log.Info().Int64("version", result.Config.Version).Int("rules", result.Config.RuleCount()).Str("from", "store").Msg("configuration in force")
	}
	s.Evacuated = evacuatedAfterRead(old, result)
	evacuatedChanged := !maps.Equal(s.Evacuated, old.Evacuated)
	if result.Full || len(result.Updated)+len(result.RemovedIDs) > 0 {
		servers, serversChanged := c.updateServers(now, old, result)
		s.Servers, changed = servers, changed || serversChanged
		s.buildIndexes()
	} else if evacuatedChanged {
		s.buildIndexes()
	}
	changed = changed || evacuatedChanged
	if changed && !restored {
		s.ChangeRevision = max(s.Revision, old.ChangeRevision+1)
	}
	c.setState(old, &s)
	if changed {
		c.onChange("")
	}
}

// updateServers returns the server list after a read and whether a change was
// relevant.
func (c *StoreCache) updateServers(now time.Time, old *State, result *ReadResult) (servers map[string]berylregistration.Registration, changed bool) {
	servers = make(map[string]berylregistration.Registration, len(old.Servers)+len(result.Updated))
	updated, removedIDs := result.Updated, result.RemovedIDs
	if result.Full {
		updated = c.withoutDeparted(now, result.Era, result.Updated)
		present := make(map[string]bool, len(updated))
		for _, server := range updated {
			present[server.ID] = true
		}
		for id := range old.Servers {
			if !present[id] {
				removedIDs = append(removedIDs, id)
			}
		}
	}
	for id, server := range old.Servers {
		servers[id] = server
	}
	for _, id := range removedIDs {
		changed = c.removeServer(now, servers, id) || changed
	}
	for _, server := range updated {
		server = withColdUntil(old, server, result.Full)
		if !result.Full {
			// A server that writes its entry is alive, but one that was leaving stays so.
			server, _ = c.departures.Check(now, result.Era, server)
		}
		previous, known := servers[server.ID]
		if !known {
			previous, known = old.Servers[server.ID]
		}
		if _, pending := c.pendingRemovals[server.ID]; pending {
			delete(c.pendingRemovals, server.ID)
			c.copyPendingRemovals()
			changed = true // Other instances copied the pending removal.
		}
		servers[server.ID] = server
		if !known || !previous.Equivalent(server) {
			changed = true
			c.log.Info().Str("instance", server.ID).Str("service", server.Service).Bool("leaving", server.Leaving).Dur("cold", server.Warm).Int64("revision", result.Revision).Msg("list changed")
		}
	}
	return servers, changed
}

// withColdUntil returns an entry that was read now with the end of its warm-up time. An entry
// that a read of the whole list finds unchanged was written some time ago.
func withColdUntil(old *State, server berylregistration.Registration, full bool) berylregistration.Registration {
	previous, known := old.Servers[server.ID]
	if full && known && previous.Lifetime() == server.Lifetime() && previous.Warm == server.Warm {
		server.ColdUntil = previous.ColdUntil
		return server
	}
	return server.ReadAt(time.Now())
}

// withoutDeparted returns the entries of a whole list of the era without those of servers that
// are known to have left before the store was restored. If there are any, the store is read
// again when one that is still listed is alive.
func (c *StoreCache) withoutDeparted(now time.Time, era int64, servers []berylregistration.Registration) []berylregistration.Registration {
	recheckAt := c.recheckAt
	if recheckAt.IsZero() {
		recheckAt = now.Add(beryldepartures.EntryTTL)
	}
	c.recheckAt = time.Time{}
	var out []berylregistration.Registration
	for _, server := range servers {
		entry, ok := c.departures.Check(now, era, server)
		if ok {
			out = append(out, entry)
			continue
		}
		c.recheckAt = recheckAt
		c.log.Info().Str("instance", server.ID).Int64("era", era).Msg("restored entry of a server that had left")
	}
	return out
}

// setState replaces old by s, whose indexes are built, and records the changes.
func (c *StoreCache) setState(old, s *State) {
	c.departures.Update(c.clock(), s.Era, old.Servers, s.Servers)
	c.logEvacuations(old, s)
	if s.Era != old.Era || s.ChangeRevision != old.ChangeRevision {
		c.recordChange(old, s)
	}
	c.state.Store(s)
}

func (c *StoreCache) recordChange(old, s *State) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.changes.Record(s.ChangeRevision, s.Digest, old.Servers, s.Servers)
}

// removeServer removes a server and reports whether it did. During an outage of the
// store, servers are removed that are about to come back. Removals seen shortly after one
// are therefore delayed. Later ones are not: a server that leaves serves only for a while.
func (c *StoreCache) removeServer(now time.Time, servers map[string]berylregistration.Registration, id string) bool {
	server, ok := servers[id]
	if !ok {
		return false
	}
	if _, pending := c.pendingRemovals[id]; pending {
		return false
	}
	if due := c.outageEndedAt.Add(removalDelay); !server.Leaving && now.Before(due) {
		c.pendingRemovals[id] = due
		c.copyPendingRemovals()
		return false
	}
	delete(servers, id)
	c.log.Info().Str("instance", id).Msg("list entry gone")
	return true
}

// copyPendingRemovals publishes the pending removals to other goroutines.
func (c *StoreCache) copyPendingRemovals() {
	removals := maps.Clone(c.pendingRemovals)
	c.pendingRemovalsCopy.Store(&removals)
}

// expirePendingRemovals removes the servers that have not come back in time.
func (c *StoreCache) expirePendingRemovals(now time.Time) {
	var due []string
	for id, deadline := range c.pendingRemovals {
		if now.After(deadline) {
			due = append(due, id)
		}
	}
	if len(due) == 0 {
		return
	}
	old := c.State()
	s := *old
	s.Servers = make(map[string]berylregistration.Registration, len(old.Servers))
	for id, server := range old.Servers {
		s.Servers[id] = server
	}
	for _, id := range due {
		delete(c.pendingRemovals, id)
		delete(s.Servers, id)
		c.log.Info().Str("instance", id).Msg("list entry did not come back")
	}
	c.copyPendingRemovals()
	s.ChangeRevision = max(s.Revision, old.ChangeRevision+1)
	s.buildIndexes()
	c.setState(old, &s)
	c.onChange("")
}
