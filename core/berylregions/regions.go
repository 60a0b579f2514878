// Package berylregions tells which region a data centre is in.
package berylregions

// Regions holds the regions of data centres. It is immutable; the zero value knows none.
type Regions struct {
	byZone map[string]string
	own    string // region of the own data centre, "" if unknown
	many   bool   // there is more than one region
}

// New returns the regions of data centres by name. zone is the own data centre.
func New(zone string, byZone map[string]string) *Regions {
	r := &Regions{byZone: byZone, own: byZone[zone]}
	for _, region := range byZone {
		r.many = r.many || region != r.own
	}
	return r
}

// Of returns the region of a data centre, "" if it is unknown.
func (r *Regions) Of(zone string) string { return r.byZone[zone] }

// Other reports whether a data centre is known to be in another region than the own one.
func (r *Regions) Other(zone string) bool {
	if !r.many || r.own == "" {
		return false
	}
	region := r.byZone[zone]
	return region != "" && region != r.own
}
