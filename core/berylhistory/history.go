// Package berylhistory keeps the recent history of a list, so that a peer that holds
// an earlier state of it can be sent only the differences.
//
// This bounds the traffic for a large list whose entries come and go one by one. If
// the list was sent whole, each change would send every entry to every instance.
package berylhistory

import (
	"encoding/binary"
	"slices"

	"berylspan/core/berylregistration"

	"github.com/cespare/xxhash/v2"
)

// History records the changes of one list. It is not safe for concurrent use.
type History struct {
	states     []state
	lastChange map[string]int64 // by ID, the change that last affected the entry
	removed    []removal
}

// state identifies a state of the list. The digest is needed because different
// instances may have reached different states under the same change number.
type state struct {
	change int64
	digest uint64
}

type removal struct {
	id     string
	change int64
}

// maxStates is how many states are remembered. A peer with an older state is sent the
// whole list.
const maxStates = 64

// New returns an empty history.
func New() *History { return &History{lastChange: map[string]int64{}} }

// Digest returns a hash of the list. It does not depend on the order of the entries
// and covers the fields that Equivalent compares.
func Digest(list map[string]berylregistration.Registration) uint64 {
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

// Record notes that change turned the list before into the list after, which has the
// given digest.
func (h *History) Record(change int64, digest uint64, before, after map[string]berylregistration.Registration) {
	if n := len(h.states); n > 0 && change <= h.states[n-1].change {
		*h = *New() // The change numbers have restarted.
	}
	for id, l := range after {
		if old, ok := before[id]; !ok || !old.Equivalent(l) {
			h.lastChange[id] = change
		}
	}
	for id := range before {
		if _, ok := after[id]; !ok {
			delete(h.lastChange, id)
			h.removed = append(h.removed, removal{id, change})
		}
	}
	h.states = append(h.states, state{change, digest})
	if len(h.states) <= maxStates {
		return
	}
	h.states = h.states[1:]
	for len(h.removed) > 0 && h.removed[0].change <= h.states[0].change {
		h.removed = h.removed[1:]
	}
}

// DiffSince returns the differences between the state after an earlier change and
// list, the present one. It returns false if that state is not in the history.
func (h *History) DiffSince(change int64, digest uint64, list map[string]berylregistration.Registration) (updated []berylregistration.Registration, removed []string, ok bool) {
	if !slices.Contains(h.states, state{change, digest}) {
		return nil, nil, false
	}
	for id, changedAt := range h.lastChange {
		if l, present := list[id]; present && changedAt > change {
			updated = append(updated, l)
		}
	}
	for _, r := range h.removed {
		if _, present := list[r.id]; !present && r.change > change {
			removed = append(removed, r.id)
		}
	}
	return updated, removed, true
}

// Apply returns a copy of list to which the differences are applied.
func Apply(list map[string]berylregistration.Registration, updated []berylregistration.Registration, removed []string) map[string]berylregistration.Registration {
	out := make(map[string]berylregistration.Registration, len(list)+len(updated))
	for id, l := range list {
		out[id] = l
	}
	for _, id := range removed {
		delete(out, id)
	}
	for _, l := range updated {
		out[l.ID] = l
	}
	return out
}
