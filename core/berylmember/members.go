// Package berylmember joins the platform's lagging list of instances with what
// the instances say of themselves.
package berylmember

import (
	"maps"
	"slices"
	"time"

	"berylspan/core/berylinstance"
	"berylspan/core/berylword"
)

// Members holds the newest list and the words heard. It is not safe for
// concurrent use.
type Members struct {
	revision int64
	listed   map[string]berylinstance.Instance
	words    map[string]heard
}

type heard struct {
	word berylword.Announcement
	at   time.Time
}

// WordLife is how long a word stands against the list; an instance that the
// list leaves out repeats its word sooner.
const WordLife = 60 * time.Second

// New returns an empty membership.
func New() *Members {
	return &Members{words: map[string]heard{}}
}

// Revision returns the revision of the list in use.
func (m *Members) Revision() int64 { return m.revision }

// List takes a published list and tells whether it is newer than the one in
// use; an older one is ignored.
func (m *Members) List(revision int64, list []berylinstance.Instance) bool {
	if revision <= m.revision {
		return false
	}
	m.revision = revision
	m.listed = make(map[string]berylinstance.Instance, len(list))
	for _, i := range list {
		m.listed[i.ID] = i
	}
	return true
}

// Lists tells whether the list in use holds exactly i.
func (m *Members) Lists(i berylinstance.Instance) bool { return m.listed[i.ID] == i }

// Listed returns the list in use, ordered by id.
func (m *Members) Listed() []berylinstance.Instance {
	out := make([]berylinstance.Instance, 0, len(m.listed))
	for _, id := range slices.Sorted(maps.Keys(m.listed)) {
		out = append(out, m.listed[id])
	}
	return out
}

// Hear takes a word and tells whether it was news.
func (m *Members) Hear(now time.Time, w berylword.Announcement) bool {
	old, ok := m.words[w.Instance.ID]
	if ok && !w.Newer(old.word) {
		return false
	}
	m.words[w.Instance.ID] = heard{word: w, at: now}
	return true
}

// Words returns the words heard since the given time, at most n.
func (m *Members) Words(since time.Time, n int) []berylword.Announcement {
	var out []berylword.Announcement
	for _, id := range slices.Sorted(maps.Keys(m.words)) {
		h := m.words[id]
		if !h.at.Before(since) && len(out) < n {
			out = append(out, h.word)
		}
	}
	return out
}

// All returns every instance that the list or a word names, ordered by id, and
// forgets words that have become old. An instance is leaving when either says
// so, unless it said later that it started anew.
func (m *Members) All(now time.Time) []berylinstance.Instance {
	all := maps.Clone(m.listed)
	if all == nil {
		all = map[string]berylinstance.Instance{}
	}
	for id, h := range m.words {
		if now.Sub(h.at) > WordLife {
			delete(m.words, id)
			continue
		}
		all[id] = h.word.Instance
	}
	out := make([]berylinstance.Instance, 0, len(all))
	for _, id := range slices.Sorted(maps.Keys(all)) {
		out = append(out, all[id])
	}
	return out
}
