package berylview

import (
	"context"
	"time"

	"berylspan/core/berylchanges"
	"berylspan/core/beryllisted"
)

// Snapshot returns what to pass on to an instance that knows k.
func (v *View) Snapshot(k Known) *Snapshot {
	s := v.State()
	out := &Snapshot{Change: s.Change, Revision: s.Revision, AgeMs: v.clock().Sub(s.Fresh).Milliseconds(), Digest: s.Digest}
	if s.Published != nil {
		out.Version = s.Published.Version
		if out.Version > k.Version {
			out.Raw = s.Raw
		}
	}
	v.mu.Lock()
	set, gone, ok := v.changes.DiffSince(k.Change, k.Digest, s.Listed)
	v.mu.Unlock()
	if ok && k.Change > 0 {
		out.Base, out.Listed, out.Gone = k.Change, set, gone
	} else {
		for _, l := range s.Listed {
			out.Listed = append(out.Listed, l)
		}
	}
	if m := v.lapses.Load(); m != nil {
		out.Lapsed = make(map[string]int64, len(*m))
		for id, until := range *m {
			out.Lapsed[id] = until.Sub(v.clock()).Milliseconds()
		}
	}
	return out
}

// Hear takes what another instance says of its knowledge and fetches it when it
// is newer.
func (v *View) Hear(ctx context.Context, addr string, version, change, revision int64, age time.Duration) {
	s := v.State()
	newer := change > s.Change || (version > 0 && (s.Published == nil || version > s.Published.Version))
	fresh := v.clock().Add(-age)
	if !newer && (revision <= s.Revision || change < s.Change) && !fresh.After(s.Fresh) {
		return
	}
	// Only fails when the view has ended.
	_ = v.loop.Post(ctx, func() {
		if newer {
			v.fetch(ctx, addr)
			return
		}
		v.confirm(change, revision, fresh)
	})
}

// confirm notes that the store still held what is known here.
func (v *View) confirm(change, revision int64, fresh time.Time) {
	old := v.State()
	if change != old.Change || !fresh.After(old.Fresh) {
		return
	}
	s := *old
	s.Revision = max(old.Revision, revision)
	s.Fresh = fresh
	v.now.Store(&s)
}

func (v *View) fetch(ctx context.Context, addr string) {
	if v.pulling {
		return
	}
	v.pulling = true
	s := v.State()
	k := Known{Change: s.Change, Digest: s.Digest}
	if s.Published != nil {
		k.Version = s.Published.Version
	}
	if v.differs {
		k.Change = 0
	}
	go func() { // Ends within pullTimeout.
		pctx, cancel := context.WithTimeout(ctx, pullTimeout)
		defer cancel()
		snap, err := v.pull(pctx, addr, k)
		// Only fails when the view has ended.
		_ = v.loop.Post(ctx, func() { v.pulled(addr, k, snap, err) })
	}()
}

// pulled takes over what another instance knows, unless it is older.
func (v *View) pulled(addr string, k Known, snap *Snapshot, err error) {
	v.pulling = false
	if err != nil {
		v.log.Warn().Err(err).Str("peer", addr).Msg("peer's knowledge not read")
		return
	}
	old := v.State()
	s := *old
	changed := false
	if len(snap.Raw) > 0 && (old.Published == nil || snap.Version > old.Published.Version) {
		p, err := v.feed.Decode(snap.Raw)
		if err != nil {
			v.log.Warn().Err(err).Str("peer", addr).Msg("peer's configuration refused")
			return
		}
		s.Published, s.Raw = p, snap.Raw
		changed = true
		v.log.Info().Int64("version", p.Version).Int("rules", p.RuleCount()).Str("from", addr).Msg("configuration in force")
	}
	if list := v.listed(addr, k, snap); list != nil && snap.Change > old.Change {
		s.Change = snap.Change
		s.Revision = max(old.Revision, snap.Revision)
		s.Listed = list
		s.index()
		changed = true
		// What this instance saw end may have come back since.
		v.lapsed = make(map[string]time.Time, len(snap.Lapsed))
		for id, ms := range snap.Lapsed {
			v.lapsed[id] = v.clock().Add(time.Duration(ms) * time.Millisecond)
		}
		v.shareLapses()
	}
	if fresh := v.clock().Add(-time.Duration(snap.AgeMs) * time.Millisecond); fresh.After(old.Fresh) && snap.Change == s.Change {
		s.Fresh = fresh
	}
	v.store(old, &s)
	if changed {
		v.changed(addr)
	}
}

// listed returns the list that a snapshot leads to, nil when that is not known:
// then the whole list is asked for next.
func (v *View) listed(addr string, k Known, snap *Snapshot) map[string]beryllisted.Registration {
	if snap.Base == 0 {
		v.differs = false
		return berylchanges.Apply(nil, snap.Listed, nil)
	}
	old := v.State()
	if snap.Base != k.Change || old.Change != k.Change || old.Digest != k.Digest {
		return nil // The list has changed since the question; the next word leads to another.
	}
	list := berylchanges.Apply(old.Listed, snap.Listed, snap.Gone)
	if berylchanges.Digest(list) != snap.Digest {
		v.log.Warn().Str("peer", addr).Int64("change", snap.Change).Msg("differences do not fit, the whole list is needed")
		v.differs = true
		return nil
	}
	return list
}
