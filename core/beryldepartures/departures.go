// Package beryldepartures remembers which lifetimes of backend servers are known to be ending
// or to have ended.
//
// A store that is restored from a copy lists servers again that have left since the copy was
// made, and lists leaving ones as ready. What an instance knew before holds until the store can
// only mean it.
package beryldepartures

import (
	"time"

	"berylspan/core/beryllifetime"
	"berylspan/core/berylregistration"
)

// Departures is what one instance knows. It is not safe for concurrent use.
type Departures struct {
	departures map[beryllifetime.Lifetime]departure
	era        int64     // latest era of the store
	eraSince   time.Time // when a list of that era was first seen
}

type departure struct {
	gone bool // no longer listed; leaving otherwise
	era  int64
	at   time.Time
}

// EntryTTL is how long an entry may outlive a server that has left: the lease of an entry and
// some time for the removal. After that, a listed server is alive.
const EntryTTL = 6 * time.Second

const keepFor = 2 * time.Minute // longer than servers take to end and copies are old

// New returns departures that hold nothing.
func New() *Departures { return &Departures{departures: map[beryllifetime.Lifetime]departure{}} }

// Check returns the entry of a list of the era as it is to be used. ok is false if the entry
// is that of a server that had left before the store was restored; it is used if it is still
// listed EntryTTL after the restore. A server that was leaving stays so.
func (d *Departures) Check(now time.Time, era int64, r berylregistration.Registration) (entry berylregistration.Registration, ok bool) {
	d.begin(now, era)
	known, departed := d.departures[r.Lifetime()]
	if !departed || known.era >= era {
		return r, true
	}
	if known.gone {
		return r, now.Sub(d.eraSince) >= EntryTTL
	}
	r.Leaving = true
	return r, true
}

// Update records what a change of the list from before to after shows: which servers are
// leaving, and which have left. A server that is listed again has not left.
func (d *Departures) Update(now time.Time, era int64, before, after map[string]berylregistration.Registration) {
	d.begin(now, era)
	for id, r := range before {
		if other, ok := after[id]; !ok || other.Born != r.Born {
			d.departures[r.Lifetime()] = departure{gone: true, era: era, at: now}
		}
	}
	for _, r := range after {
		key := r.Lifetime()
		known, departed := d.departures[key]
		switch {
		case r.Leaving && (!departed || known.gone):
			d.departures[key] = departure{era: era, at: now}
		case !r.Leaving && departed:
			delete(d.departures, key)
		}
	}
	for key, departure := range d.departures {
		if _, listed := after[key.ID]; !listed && now.Sub(departure.at) > keepFor {
			delete(d.departures, key)
		}
	}
}

func (d *Departures) begin(now time.Time, era int64) {
	if era > d.era {
		d.era, d.eraSince = era, now
	}
}
