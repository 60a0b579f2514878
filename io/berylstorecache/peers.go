package berylstorecache

import (
	"context"
	"maps"
	"slices"
	"time"

	"berylspan/core/berylhistory"
	"berylspan/core/berylregistration"
	"berylspan/io/berylpanic"
)

// Snapshot returns a snapshot for an instance that already has known. It leaves out a
// configuration that is not newer and, if the history reaches back to the list in known,
// unchanged servers.
func (c *StoreCache) Snapshot(known KnownVersions) *Snapshot {
	s := c.State()
	snapshot := &Snapshot{Era: s.Era, ChangeRevision: s.ChangeRevision, Revision: s.Revision, AgeMs: c.clock().Sub(s.ConfirmedAt).Milliseconds(), Digest: s.Digest, Evacuated: &s.Evacuated}
	if s.Config != nil {
		snapshot.ConfigVersion = s.Config.Version
		if snapshot.ConfigVersion > known.ConfigVersion {
			snapshot.RawConfig = s.RawConfig
		}
	}
	updated, removedIDs, ok := c.changesSince(known, s)
	if ok && known.ChangeRevision > 0 {
		snapshot.BaseRevision, snapshot.Servers, snapshot.RemovedIDs = known.ChangeRevision, updated, removedIDs
	} else {
		for _, server := range s.Servers {
			snapshot.Servers = append(snapshot.Servers, server)
		}
	}
	setWarm(snapshot.Servers)
	if removals := c.pendingRemovalsCopy.Load(); removals != nil {
		snapshot.PendingRemovalMs = make(map[string]int64, len(*removals))
		for id, deadline := range *removals {
			snapshot.PendingRemovalMs[id] = deadline.Sub(c.clock()).Milliseconds()
		}
	}
	return snapshot
}

// setWarm sets the warm-up times of entries to what remains of them.
func setWarm(servers []berylregistration.Registration) {
	now := time.Now()
	for i := range servers {
		servers[i].Warm = servers[i].ColdFor(now)
	}
}

// setColdUntil sets the ends of the warm-up times of entries that were received now.
func setColdUntil(servers []berylregistration.Registration) {
	now := time.Now()
	for i := range servers {
		servers[i] = servers[i].ReadAt(now)
	}
}

// changesSince returns how the server list of s differs from the known one, false if the
// changes since then are not recorded.
func (c *StoreCache) changesSince(known KnownVersions, s *State) (updated []berylregistration.Registration, removedIDs []string, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changes.DiffSince(known.ChangeRevision, known.Digest, s.Servers)
}

// PeerState is what another instance announces of its state. Age is the time since the store
// was last known to hold that state.
type PeerState struct {
	ConfigVersion  int64 // 0 while it knows no configuration
	Era            int64
	ChangeRevision int64
	Revision       int64
	Age            time.Duration
}

// HandlePeerState handles the state that another instance announced and fetches it if it
// is newer.
func (c *StoreCache) HandlePeerState(ctx context.Context, addr string, peer PeerState) {
	s := c.State()
	position := comparePosition(peer.Era, peer.ChangeRevision, s.Era, s.ChangeRevision)
	newer := position > 0 || (peer.ConfigVersion > 0 && (s.Config == nil || peer.ConfigVersion > s.Config.Version))
	confirmedAt := c.clock().Add(-peer.Age)
	if !newer && (position < 0 || (peer.Revision <= s.Revision && !confirmedAt.After(s.ConfirmedAt))) {
		return
	}
	// Fails only after Run has ended.
	_ = c.loop.Post(ctx, func() {
		if newer {
			c.guarded(func() { c.fetchFrom(ctx, addr) })
			return
		}
		c.guarded(func() { c.confirm(peer, confirmedAt) })
	})
}

// confirm records that the store still held the current state at confirmedAt.
func (c *StoreCache) confirm(peer PeerState, confirmedAt time.Time) {
	old := c.State()
	if comparePosition(peer.Era, peer.ChangeRevision, old.Era, old.ChangeRevision) != 0 || !confirmedAt.After(old.ConfirmedAt) {
		return
	}
	s := *old
	s.Revision = max(old.Revision, peer.Revision)
	s.ConfirmedAt = confirmedAt
	c.state.Store(&s)
}

func (c *StoreCache) fetchFrom(ctx context.Context, addr string) {
	if c.fetching {
		return
	}
	c.fetching = true
	s := c.State()
	known := KnownVersions{ChangeRevision: s.ChangeRevision, Digest: s.Digest}
	if s.Config != nil {
		known.ConfigVersion = s.Config.Version
	}
	if c.needFullList {
		known.ChangeRevision = 0
	}
	go func() { // Ends within fetchTimeout.
		fetchCtx, cancel := context.WithTimeout(ctx, fetchTimeout)
		defer cancel()
		var snapshot *Snapshot
		var err error
		if !c.guard(panicPart, func() { snapshot, err = c.fetch(fetchCtx, addr, known) }) {
			err = berylpanic.ErrPanic
		}
		// Fails only after Run has ended.
		_ = c.loop.Post(ctx, func() { c.guarded(func() { c.handleSnapshot(addr, known, snapshot, err) }) })
	}()
}

// handleSnapshot applies what is newer in a snapshot of another instance.
func (c *StoreCache) handleSnapshot(addr string, known KnownVersions, snapshot *Snapshot, err error) {
	c.fetching = false
	if err != nil {
		c.log.Warn().Err(err).Str("peer", addr).Msg("peer's knowledge not read")
		return
	}
	setColdUntil(snapshot.Servers)
	old := c.State()
	s := *old
	changed := false
	if len(snapshot.RawConfig) > 0 && (old.Config == nil || snapshot.ConfigVersion > old.Config.Version) {
		config, err := c.source.DecodeConfig(snapshot.RawConfig)
		if err != nil {
			c.log.Warn().Err(err).Str("peer", addr).Msg("configuration from peer rejected")
			return
		}
		s.Config, s.RawConfig = config, snapshot.RawConfig
		changed = true
		c.log.Info().Int64("version", config.Version).Int("rules", config.RuleCount()).Str("from", addr).Msg("configuration in force")
	}
	if servers := c.serversFromSnapshot(addr, known, snapshot); servers != nil && comparePosition(snapshot.Era, snapshot.ChangeRevision, old.Era, old.ChangeRevision) > 0 {
		s.Revision = snapshot.Revision
		if snapshot.Era > old.Era && !old.ConfirmedAt.IsZero() {
			c.outageEndedAt = c.clock() // As after a read of a later era.
		}
		if snapshot.Era == old.Era {
			s.Revision = max(old.Revision, snapshot.Revision)
		}
		s.Evacuated = evacuatedInSnapshot(old, snapshot)
		s.Era, s.ChangeRevision = snapshot.Era, snapshot.ChangeRevision
		s.Servers = berylhistory.Apply(nil, c.withoutDeparted(c.clock(), snapshot.Era, slices.Collect(maps.Values(servers))), nil)
		s.buildIndexes()
		changed = true
		// Servers whose removal is pending here may have come back at the peer. The peer decides
		// first: a removal by this instance could get the revision of the change with which the
		// server comes back, and that change would then not be fetched.
		c.pendingRemovals = make(map[string]time.Time, len(snapshot.PendingRemovalMs))
		for id, ms := range snapshot.PendingRemovalMs {
			c.pendingRemovals[id] = c.clock().Add(time.Duration(ms)*time.Millisecond + copiedDelay)
		}
		c.copyPendingRemovals()
	}
	if confirmedAt := c.clock().Add(-time.Duration(snapshot.AgeMs) * time.Millisecond); confirmedAt.After(old.ConfirmedAt) && snapshot.Era == s.Era && snapshot.ChangeRevision == s.ChangeRevision {
		s.ConfirmedAt = confirmedAt
	}
	c.setState(old, &s)
	if changed {
		c.onChange(addr)
	}
}

// serversFromSnapshot returns the server list that a snapshot leads to, or nil if it
// cannot be applied to the current list. If it leads to another list than that of the
// peer, the full list is requested next.
func (c *StoreCache) serversFromSnapshot(addr string, known KnownVersions, snapshot *Snapshot) map[string]berylregistration.Registration {
	if snapshot.BaseRevision == 0 {
		c.needFullList = false
		return berylhistory.Apply(nil, snapshot.Servers, nil)
	}
	old := c.State()
	if snapshot.BaseRevision != known.ChangeRevision || old.ChangeRevision != known.ChangeRevision || old.Digest != known.Digest {
		return nil // The list has changed since the request; the next heartbeat leads to another request.
	}
	servers := berylhistory.Apply(old.Servers, snapshot.Servers, snapshot.RemovedIDs)
	if berylhistory.Digest(servers) != snapshot.Digest {
		c.log.Warn().Str("peer", addr).Int64("change", snapshot.ChangeRevision).Msg("differences do not fit the known server list, full list will be requested")
		c.needFullList = true
		return nil
	}
	return servers
}
