// Package berylhomes decides in which regions a request may run.
//
// A rule and a workspace may each name the regions that the data of their requests must not
// leave. Where both do, a region must be named by both.
package berylhomes

import "slices"

// Homes holds the regions that the rule and the workspace of one request name; an empty list
// names all. The zero value allows every region.
type Homes struct {
	Rule      []string
	Workspace []string
}

// Bound reports whether any region is excluded.
func (h Homes) Bound() bool { return len(h.Rule)+len(h.Workspace) > 0 }

// Allow reports whether the request may run in a region. One that is unknown, "", is allowed only
// if no region is excluded.
func (h Homes) Allow(region string) bool {
	return allows(h.Rule, region) && allows(h.Workspace, region)
}

func allows(regions []string, region string) bool {
	return len(regions) == 0 || (region != "" && slices.Contains(regions, region))
}
