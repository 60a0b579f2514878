// Package berylquarantine decides which requests may reach a backend server although servers
// have ended while they ran.
//
// When a server ends, each request that it was running may be the cause. A request that was
// running at the ends of several servers is a suspect. It then runs in trials only: one at a
// time, without another suspect on the same server. A request that is answered is cleared, as
// one that ends its servers never is. After a trial that ended its server, the request is
// refused, for longer after each.
//
// Instances exchange records of what they know. An answer begins a new epoch of a request, which
// replaces all before, and within an epoch the ends are united, so that records may be merged in
// any order and any number of times.
package berylquarantine

import (
	"cmp"
	"slices"
	"time"
)

// Quarantine is what one instance knows of requests that were running when servers ended, by
// fingerprint. It is not safe for concurrent use.
type Quarantine struct {
	entries map[uint64]*entry
}

type entry struct {
	epoch      uint32
	ends       []uint64 // lifetimes that ended while they ran the request, sorted
	trials     []uint64 // those that ended during a trial, sorted
	lastEnd    time.Time
	changedAt  time.Time // when this instance saw the last end or answer, or heard of it
	sharesLeft int       // times that Changes still returns it
	outdated   bool      // another instance has a record from before the answer
}

const (
	suspectEnds      = 3 // servers that end before a request is a suspect
	maxEnds          = 8 // lifetimes kept for one request; more change nothing
	maxEntries       = 4096
	shares           = 3 // of each change, as messages may be lost
	firstRefusal     = time.Minute
	maxRefusal       = 16 * time.Minute
	suspectTTL       = 2 * maxRefusal   // since the last end
	endTTL           = 10 * time.Minute // of a request that is not a suspect, since the last end
	clearedTTL       = time.Minute      // in which older records are recognized as such
	minSharedCleared = 2                // ends that others must be told to forget; fewer do no harm
)

// New returns a quarantine without requests.
func New() *Quarantine { return &Quarantine{entries: map[uint64]*entry{}} }

// Len returns the number of requests that are known, cleared ones included.
func (q *Quarantine) Len() int { return len(q.entries) }

func (e *entry) suspect() bool { return e != nil && len(e.ends) >= suspectEnds }

// refusal returns how long the request is refused after its last end.
func (e *entry) refusal() time.Duration {
	if len(e.trials) == 0 {
		return 0
	}
	return min(firstRefusal<<(len(e.trials)-1), maxRefusal)
}

// Check reports whether a request is a suspect, which may run in a trial only, and how long it
// is until the next trial, 0 if it is possible now.
func (q *Quarantine) Check(now time.Time, fingerprint uint64) (suspect bool, wait time.Duration) {
	e := q.entries[fingerprint]
	if !e.suspect() {
		return false, 0
	}
	return true, max(0, e.lastEnd.Add(e.refusal()).Sub(now))
}

// ServerEnded records that a lifetime of a server ended while it ran the given requests. trial is
// the one among them that ran as a trial, 0 without one. It returns the requests that became
// suspects, or failed a trial, thereby.
func (q *Quarantine) ServerEnded(now time.Time, lifetime uint64, fingerprints []uint64, trial uint64) []uint64 {
	conclusive := trial != 0 && !slices.ContainsFunc(fingerprints, func(f uint64) bool { return f != trial && q.entries[f].suspect() })
	var changed []uint64
	for _, f := range fingerprints {
		e := q.entry(f)
		before := e.suspect()
		failed := conclusive && f == trial
		e.ends = add(e.ends, lifetime)
		if failed {
			e.trials = add(e.trials, lifetime)
		}
		e.lastEnd, e.changedAt, e.sharesLeft = now, now, shares
		if failed || (!before && e.suspect()) {
			changed = append(changed, f)
		}
	}
	return changed
}

// Answered records that a server answered a request. It reports whether that was a suspect.
func (q *Quarantine) Answered(now time.Time, fingerprint uint64) bool {
	e := q.entries[fingerprint]
	if e == nil || len(e.ends) == 0 {
		return false
	}
	suspect := e.suspect()
	if e.sharesLeft = 0; len(e.ends) >= minSharedCleared {
		e.sharesLeft = shares
	}
	e.epoch++
	e.ends, e.trials, e.changedAt = nil, nil, now
	return suspect
}

// Merge takes over what another instance knows. It returns the requests that became suspects
// thereby.
func (q *Quarantine) Merge(now time.Time, records []Record) []uint64 {
	var changed []uint64
	for _, r := range records {
		e := q.entry(r.Fingerprint)
		if r.Epoch < e.epoch {
			e.outdated = true
			continue
		}
		before := e.suspect()
		if r.Epoch > e.epoch {
			*e = entry{epoch: r.Epoch, changedAt: now}
		}
		for _, lifetime := range r.Ends {
			e.ends = add(e.ends, lifetime)
		}
		for _, lifetime := range r.Trials {
			e.trials = add(e.trials, lifetime)
		}
		if at := now.Add(-r.Age); len(r.Ends) > 0 && at.After(e.lastEnd) {
			e.lastEnd = at
		}
		if e.changedAt.IsZero() {
			e.changedAt = now
		}
		if !before && e.suspect() {
			changed = append(changed, r.Fingerprint)
		}
	}
	return changed
}

// entry returns the entry of a request, a new one if there is none. It makes room by removing
// the one with the fewest ends that is unchanged for longest.
func (q *Quarantine) entry(fingerprint uint64) *entry {
	if e := q.entries[fingerprint]; e != nil {
		return e
	}
	if len(q.entries) >= maxEntries {
		var least uint64
		var leastEntry *entry
		for f, e := range q.entries {
			if leastEntry == nil || cmp.Or(cmp.Compare(len(e.ends), len(leastEntry.ends)), e.changedAt.Compare(leastEntry.changedAt)) < 0 {
				least, leastEntry = f, e
			}
		}
		delete(q.entries, least)
	}
	e := &entry{}
	q.entries[fingerprint] = e
	return e
}

// add adds a lifetime to a sorted set of at most maxEnds.
func add(set []uint64, lifetime uint64) []uint64 {
	i, found := slices.BinarySearch(set, lifetime)
	if found || len(set) >= maxEnds {
		return set
	}
	return slices.Insert(set, i, lifetime)
}

// Changes returns records of what this instance saw itself, at most limit, those first that were
// returned least often. Each is returned a few times.
func (q *Quarantine) Changes(now time.Time, limit int) []Record {
	var fingerprints []uint64
	for f, e := range q.entries {
		if e.sharesLeft > 0 {
			fingerprints = append(fingerprints, f)
		}
	}
	slices.SortFunc(fingerprints, func(a, b uint64) int {
		ea, eb := q.entries[a], q.entries[b]
		return cmp.Or(cmp.Compare(eb.sharesLeft, ea.sharesLeft), cmp.Compare(len(eb.ends), len(ea.ends)), eb.changedAt.Compare(ea.changedAt), cmp.Compare(a, b))
	})
	records := make([]Record, 0, min(limit, len(fingerprints)))
	for _, f := range fingerprints[:cap(records)] {
		q.entries[f].sharesLeft--
		records = append(records, q.record(now, f))
	}
	return records
}

// Suspects returns records of all suspects, and of cleared requests that another instance may
// still take for one. It returns at most limit, the latest first.
func (q *Quarantine) Suspects(now time.Time, limit int) []Record {
	var records []Record
	for f, e := range q.entries {
		if e.suspect() || e.outdated {
			records = append(records, q.record(now, f))
		}
		e.outdated = false
	}
	slices.SortFunc(records, func(a, b Record) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return records[:min(limit, len(records))]
}

// SuspectCount returns the number of suspects.
func (q *Quarantine) SuspectCount() int {
	n := 0
	for _, e := range q.entries {
		if e.suspect() {
			n++
		}
	}
	return n
}

func (q *Quarantine) record(now time.Time, fingerprint uint64) Record {
	e := q.entries[fingerprint]
	return Record{Fingerprint: fingerprint, Epoch: e.epoch, Ends: slices.Clone(e.ends), Trials: slices.Clone(e.trials), Age: max(0, now.Sub(e.lastEnd))}
}

// Evict forgets requests that have not ended a server for a long time, and cleared ones.
func (q *Quarantine) Evict(now time.Time) {
	for f, e := range q.entries {
		var expires time.Time
		switch {
		case e.suspect():
			expires = e.lastEnd.Add(suspectTTL)
		case len(e.ends) > 0:
			expires = e.lastEnd.Add(endTTL)
		default:
			expires = e.changedAt.Add(clearedTTL)
		}
		if !now.Before(expires) {
			delete(q.entries, f)
		}
	}
}
