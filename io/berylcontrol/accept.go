package berylcontrol

import (
	"time"

	"berylspan/core/berylconfig"
	"berylspan/core/berylentries"
	"berylspan/core/berylfinding"
	"berylspan/core/berylinvariant"
	"berylspan/io/berylwire"
)

// takeLists takes what the platform published.
func (c *Control) takeLists(rev int64, workspaces, plans []byte) bool {
	if rev <= c.revision || rev <= c.refused {
		return false
	}
	cfg, findings := berylconfig.Parse(rev, workspaces, plans)
	if cfg == nil {
		c.reject(rev, "platform", findings)
		return false
	}
	entries, err := berylentries.Split(workspaces, plans)
	if err != nil {
		c.log.Error().Err(err).Int64("revision", rev).Msg("lists cannot be split")
		return false
	}
	c.accept(cfg, entries, entries.Digest(), "platform")
	return true
}

// takeChanges takes what another daemon has in force. Changes to a revision
// that is not the one in force here are left; the next sync brings the right
// ones. Entries that do not match their digest are asked for as a whole.
func (c *Control) takeChanges(g *berylwire.Config, source string) bool {
	if g == nil || g.Revision <= c.revision && !c.broken || g.Revision <= c.refused || g.Base != 0 && g.Base != c.revision {
		return false
	}
	entries, digest := berylentries.Entries(g.Entries), uint64(0)
	if g.Base == 0 {
		digest = entries.Digest()
	} else {
		entries, digest = c.entries.Apply(g.Entries), c.entries.DigestAfter(c.digest, g.Entries)
	}
	if digest != g.Digest {
		c.broken = true
		c.log.Warn().Int64("revision", g.Revision).Str("source", source).Msg("changes do not match their digest")
		return false
	}
	c.broken = false
	cfg, findings := c.build(g, entries)
	if cfg == nil {
		c.reject(g.Revision, source, findings)
		return false
	}
	if g.Revision <= c.revision {
		return false
	}
	c.accept(cfg, entries, digest, source)
	return true
}

func (c *Control) build(g *berylwire.Config, entries berylentries.Entries) (*berylconfig.Config, []berylfinding.Finding) {
	if g.Base == 0 {
		workspaces, plans := entries.Join()
		return berylconfig.Parse(g.Revision, workspaces, plans)
	}
	return berylconfig.Apply(c.State().Config, g.Revision, entries, g.Entries)
}

func (c *Control) reject(rev int64, source string, findings []berylfinding.Finding) {
	c.refused = rev
	c.rejected.Store(&findings)
	c.log.Error().Int64("revision", rev).Str("source", source).Err(berylfinding.Join(findings)).Msg("lists rejected")
}

// accept puts a newer configuration in force.
func (c *Control) accept(cfg *berylconfig.Config, entries berylentries.Entries, digest uint64, source string) {
	rev := cfg.Revision
	c.guard.Check(rev > c.revision, berylinvariant.Revision, "revision %d after %d", rev, c.revision)
	if c.revision > 0 {
		c.history = append(c.history, change{from: c.revision, to: rev, changes: entries.Diff(c.entries)})
	}
	if len(c.history) > mostHistory {
		c.history = c.history[1:]
	}
	c.revision, c.entries, c.digest = rev, entries, digest
	c.rejected.Store(nil)
	s := *c.State()
	s.Config, s.Source, s.AcceptedAt = cfg, source, time.Now()
	s.Version++
	c.snapshot.Store(&s)
	c.log.Info().Int64("revision", rev).Str("source", source).Msg("configuration in force")
}

// before returns the revision that was in force before the present one, 0 when
// there was none.
func (c *Control) before() int64 {
	if len(c.history) == 0 {
		return 0
	}
	return c.history[len(c.history)-1].from
}

// config returns what changed since base, or everything when that is not known.
func (c *Control) config(base int64) *berylwire.Config {
	out := &berylwire.Config{Revision: c.revision, Digest: c.digest}
	for i, h := range c.history {
		if h.from != base {
			continue
		}
		out.Base, out.Entries = base, map[string]string{}
		for _, later := range c.history[i:] {
			for key, value := range later.changes {
				out.Entries[key] = value
			}
		}
		return out
	}
	out.Entries = c.entries
	return out
}
