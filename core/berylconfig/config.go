// Package berylconfig validates the two published lists and holds the
// configuration that they describe.
package berylconfig

import (
	"berylspan/core/beryldigest"
	"berylspan/core/berylplan"
	"berylspan/core/berylroute"
	"berylspan/core/berylworkspace"
	"berylspan/core/berylzone"
)

// Config is a configuration that passed validation. It is immutable.
type Config struct {
	Revision   int64
	Zones      []berylzone.Zone
	Routes     map[string]*berylroute.Route
	Plans      map[string]*berylplan.Plan
	Workspaces map[string]*berylworkspace.Workspace

	byKey map[beryldigest.Digest]*berylworkspace.Workspace
}

// WorkspaceByKey returns the workspace that the API key with digest d belongs to.
func (c *Config) WorkspaceByKey(d beryldigest.Digest) (*berylworkspace.Workspace, bool) {
	w, ok := c.byKey[d]
	if !ok {
		return nil, false
	}
	for _, k := range w.KeyDigests {
		if k.Equal(d) {
			return w, true
		}
	}
	return nil, false
}
