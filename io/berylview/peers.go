package berylview

import (
	"context"
	"time"

	"berylspan/core/beryllisted"
)

// Snapshot returns what to pass on to an instance that has the given version.
func (v *View) Snapshot(version int64) *Snapshot {
	s := v.State()
	out := &Snapshot{Change: s.Change, Revision: s.Revision, AgeMs: v.clock().Sub(s.Fresh).Milliseconds()}
	if s.Published != nil {
		out.Version = s.Published.Version
		if out.Version > version {
			out.Raw = s.Raw
		}
	}
	for _, l := range s.Listed {
		out.Listed = append(out.Listed, l)
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
	version := int64(0)
	if s.Published != nil {
		version = s.Published.Version
	}
	go func() { // Ends within pullTimeout.
		pctx, cancel := context.WithTimeout(ctx, pullTimeout)
		defer cancel()
		snap, err := v.pull(pctx, addr, version)
		// Only fails when the view has ended.
		_ = v.loop.Post(ctx, func() { v.pulled(addr, snap, err) })
	}()
}

// pulled takes over what another instance knows, unless it is older.
func (v *View) pulled(addr string, snap *Snapshot, err error) {
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
		v.log.Info().Int64("version", p.Version).Int("rules", p.Rules()).Str("from", addr).Msg("configuration in force")
	}
	if snap.Change > old.Change {
		s.Change = snap.Change
		s.Revision = max(old.Revision, snap.Revision)
		s.Listed = make(map[string]beryllisted.Listed, len(snap.Listed))
		for _, l := range snap.Listed {
			s.Listed[l.ID] = l
		}
		s.index()
		changed = true
		// What this instance saw end may have come back since.
		v.lapsed = make(map[string]time.Time, len(snap.Lapsed))
		for id, ms := range snap.Lapsed {
			v.lapsed[id] = v.clock().Add(time.Duration(ms) * time.Millisecond)
		}
		v.shareLapses()
	}
	if fresh := v.clock().Add(-time.Duration(snap.AgeMs) * time.Millisecond); fresh.After(old.Fresh) && snap.Change >= old.Change {
		s.Fresh = fresh
	}
	v.now.Store(&s)
	if changed {
		v.changed()
	}
}
