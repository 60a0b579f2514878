// Package berylchanges records how a list changed, so that whoever knows an
// earlier state needs only the differences.
//
// It answers a large list whose entries come and go one by one: passed on whole,
// every entry would be sent to every instance at every change.
package berylchanges

import (
	"encoding/binary"
	"slices"

	"berylspan/core/beryllisted"

	"github.com/cespare/xxhash/v2"
)

// Changes is the history of one list. It is not safe for concurrent use.
type Changes struct {
	known []mark
	since map[string]int64 // change with which an entry became what it is
	gone  []gone
}

// mark is a state that was held: two lists may have come to different states by
// changes of one number.
type mark struct {
	change int64
	digest uint64
}

type gone struct {
	id     string
	change int64
}

// most is how many states are remembered; whoever is further behind gets the
// whole list.
const most = 64

// New returns a history without states.
func New() *Changes { return &Changes{since: map[string]int64{}} }

// Digest tells lists apart. What Same of an entry passes over has no part in it.
func Digest(list map[string]beryllisted.Registration) uint64 {
	sum := uint64(0)
	var buf []byte
	for _, l := range list {
		buf = buf[:0]
		for _, s := range []string{l.ID, l.Service, l.Zone, l.Addr} {
			buf = binary.AppendUvarint(buf, uint64(len(s)))
			buf = append(buf, s...)
		}
		buf = binary.AppendVarint(buf, int64(l.Slots))
		buf = binary.AppendVarint(buf, l.Born)
		if l.Leaving {
			buf = append(buf, 1)
		}
		sum ^= xxhash.Sum64(buf)
	}
	return sum
}

// Record notes that the list before has become the list after with a change.
func (c *Changes) Record(change int64, digest uint64, before, after map[string]beryllisted.Registration) {
	if n := len(c.known); n > 0 && change <= c.known[n-1].change {
		*c = *New() // The numbers began anew.
	}
	for id, l := range after {
		if old, ok := before[id]; !ok || !old.Equivalent(l) {
			c.since[id] = change
		}
	}
	for id := range before {
		if _, ok := after[id]; !ok {
			delete(c.since, id)
			c.gone = append(c.gone, gone{id, change})
		}
	}
	c.known = append(c.known, mark{change, digest})
	if len(c.known) <= most {
		return
	}
	c.known = c.known[1:]
	for len(c.gone) > 0 && c.gone[0].change <= c.known[0].change {
		c.gone = c.gone[1:]
	}
}

// Since returns what differs in the list from the state that a change led to;
// false when that state was never held here or is forgotten.
func (c *Changes) Since(change int64, digest uint64, list map[string]beryllisted.Registration) (set []beryllisted.Registration, lost []string, ok bool) {
	if !slices.Contains(c.known, mark{change, digest}) {
		return nil, nil, false
	}
	for id, at := range c.since {
		if l, there := list[id]; there && at > change {
			set = append(set, l)
		}
	}
	for _, g := range c.gone {
		if _, back := list[g.id]; !back && g.change > change {
			lost = append(lost, g.id)
		}
	}
	return set, lost, true
}

// Apply returns the list with differences.
func Apply(list map[string]beryllisted.Registration, set []beryllisted.Registration, lost []string) map[string]beryllisted.Registration {
	out := make(map[string]beryllisted.Registration, len(list)+len(set))
	for id, l := range list {
		out[id] = l
	}
	for _, id := range lost {
		delete(out, id)
	}
	for _, l := range set {
		out[l.ID] = l
	}
	return out
}
