// Package berylmembership combines the platform's list of instances, which lags, with
// the announcements that instances send about themselves.
package berylmembership

import (
	"maps"
	"slices"
	"time"

	"berylspan/core/berylannouncement"
	"berylspan/core/berylinstance"
)

// Membership holds the newest list and the announcements received. It is not safe
// for concurrent use.
type Membership struct {
	revision      int64
	listed        map[string]berylinstance.Instance
	announcements map[string]received
}

type received struct {
	announcement berylannouncement.Announcement
	at           time.Time
}

// AnnouncementTTL is how long an announcement overrides the list. An instance that
// is missing from the list repeats its announcement at shorter intervals.
const AnnouncementTTL = 60 * time.Second

// New returns an empty membership.
func New() *Membership {
	return &Membership{announcements: map[string]received{}}
}

// Revision returns the revision of the list in use.
func (m *Membership) Revision() int64 { return m.revision }

// ApplyList replaces the list in use by a published one if that is newer, and
// reports whether it was.
func (m *Membership) ApplyList(revision int64, list []berylinstance.Instance) bool {
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

// ListContains reports whether the list in use has an entry equal to i.
func (m *Membership) ListContains(i berylinstance.Instance) bool { return m.listed[i.ID] == i }

// ListedInstances returns the list in use, sorted by id.
func (m *Membership) ListedInstances() []berylinstance.Instance {
	out := make([]berylinstance.Instance, 0, len(m.listed))
	for _, id := range slices.Sorted(maps.Keys(m.listed)) {
		out = append(out, m.listed[id])
	}
	return out
}

// ApplyAnnouncement stores an announcement if it is newer than the last one of the
// same instance, and reports whether it was.
func (m *Membership) ApplyAnnouncement(now time.Time, a berylannouncement.Announcement) bool {
	old, ok := m.announcements[a.Instance.ID]
	if ok && !a.Newer(old.announcement) {
		return false
	}
	m.announcements[a.Instance.ID] = received{announcement: a, at: now}
	return true
}

// RecentAnnouncements returns at most n announcements received since the given time,
// sorted by id.
func (m *Membership) RecentAnnouncements(since time.Time, n int) []berylannouncement.Announcement {
	var out []berylannouncement.Announcement
	for _, id := range slices.Sorted(maps.Keys(m.announcements)) {
		r := m.announcements[id]
		if !r.at.Before(since) && len(out) < n {
			out = append(out, r.announcement)
		}
	}
	return out
}

// Instances returns every instance in the list or in an announcement, sorted by id,
// and deletes expired announcements. An announcement overrides the whole entry of the
// list, so that a restarted instance counts as serving although the list still says
// that it is leaving.
func (m *Membership) Instances(now time.Time) []berylinstance.Instance {
	all := maps.Clone(m.listed)
	if all == nil {
		all = map[string]berylinstance.Instance{}
	}
	for id, r := range m.announcements {
		if now.Sub(r.at) > AnnouncementTTL {
			delete(m.announcements, id)
			continue
		}
		all[id] = r.announcement.Instance
	}
	out := make([]berylinstance.Instance, 0, len(all))
	for _, id := range slices.Sorted(maps.Keys(all)) {
		out = append(out, all[id])
	}
	return out
}
