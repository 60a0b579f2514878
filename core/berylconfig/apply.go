package berylconfig

import (
	"maps"
	"strings"

	"berylspan/core/berylentries"
	"berylspan/core/berylfinding"
	"berylspan/core/beryljson"
)

// Apply returns the configuration that results from applying changes to old;
// entries holds all entries after the changes. If only workspaces have changed,
// it parses only those and checks them as Parse would, except for the size of
// the lists. Otherwise it parses all entries.
func Apply(old *Config, revision int64, entries, changes berylentries.Entries) (*Config, []berylfinding.Finding) {
	for key := range changes {
		if old == nil || !strings.HasPrefix(key, WorkspacesFile+"/") {
			workspaces, plans := entries.Join()
			return Parse(revision, workspaces, plans)
		}
	}
	cfg := *old
	cfg.Revision = revision
	cfg.Workspaces = maps.Clone(old.Workspaces)
	cfg.byKey = maps.Clone(old.byKey)
	p := &parser{cfg: &cfg}
	// Remove all changed workspaces before adding any: an API key may have moved
	// from one workspace to another.
	for key := range changes {
		p.removeWorkspace(strings.TrimPrefix(key, WorkspacesFile+"/"))
	}
	for _, value := range changes {
		if value != "" {
			p.parseWorkspace(beryljson.Parse(WorkspacesFile, []byte(value), &p.findings))
		}
	}
	if len(p.findings) > 0 {
		return nil, p.findings
	}
	return p.cfg, nil
}

func (p *parser) removeWorkspace(name string) {
	w := p.cfg.Workspaces[name]
	if w == nil {
		return
	}
	for _, k := range w.KeyDigests {
		delete(p.cfg.byKey, k)
	}
	delete(p.cfg.Workspaces, name)
}
