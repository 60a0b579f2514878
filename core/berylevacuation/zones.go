// Package berylevacuation holds which data centres are evacuated: nothing new is sent to the
// backend servers there until that is taken back.
//
// In doubt a data centre counts as evacuated. A store that is restored from a copy may have lost
// that an evacuation was published, or may publish one again that was taken back since.
package berylevacuation

import (
	"maps"
	"slices"
)

// Zones holds the evacuated data centres by name, each with the era of the store in which it was
// last published. It is immutable.
type Zones map[string]int64

// Contains reports whether a data centre is evacuated.
func (z Zones) Contains(zone string) bool {
	_, ok := z[zone]
	return ok
}

// Names returns the sorted names.
func (z Zones) Names() []string { return slices.Sorted(maps.Keys(z)) }

// Apply returns what holds after changes that were published in the era, by name: true if the
// data centre is evacuated, false if that was taken back.
func (z Zones) Apply(era int64, changes map[string]bool) Zones {
	if len(changes) == 0 {
		return z
	}
	out := maps.Clone(z)
	if out == nil {
		out = Zones{}
	}
	for zone, evacuated := range changes {
		if evacuated {
			out[zone] = era
		} else {
			delete(out, zone)
		}
	}
	return out
}

// Replace returns what holds after all that is published in the era was read. A data centre that
// was last published in an earlier era stays evacuated: the copy that the store was restored from
// may be older than its evacuation.
func (z Zones) Replace(era int64, published map[string]bool) Zones {
	return z.earlier(era).Apply(era, published)
}

// Merge returns what holds after what another instance knows in the given era, which is later
// than the one known here.
func (z Zones) Merge(era int64, other Zones) Zones {
	out := z.earlier(era)
	maps.Copy(out, other)
	return out
}

// earlier returns the data centres that were last published before the era.
func (z Zones) earlier(era int64) Zones {
	out := Zones{}
	for zone, published := range z {
		if published < era {
			out[zone] = published
		}
	}
	return out
}
