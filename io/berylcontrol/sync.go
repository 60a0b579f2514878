package berylcontrol

import (
	"context"
	"time"

	"berylspan/core/berylannouncement"
	"berylspan/core/berylinstance"
	"berylspan/io/berylwire"

	"github.com/rotisserie/eris"
)

// age is how long ago, in milliseconds, the platform answered somebody, -1 when
// never as far as known.
func (c *Control) age(now time.Time) int64 {
	if c.confirmed.IsZero() {
		return -1
	}
	return now.Sub(c.confirmed).Milliseconds()
}

// heardAge takes another daemon's age.
func (c *Control) heardAge(now time.Time, age int64) {
	if age < 0 {
		return
	}
	if at := now.Add(-time.Duration(age) * time.Millisecond); at.After(c.confirmed) {
		c.confirmed = at
	}
}

// Sync answers another daemon with what it lacks and takes what it knows.
func (c *Control) Sync(ctx context.Context, req *berylwire.SyncRequest) (*berylwire.SyncReply, error) {
	rep := &berylwire.SyncReply{}
	err := c.loop.Do(ctx, func() {
		now := time.Now()
		c.heardAge(now, req.Age)
		rep.Revision, rep.Listed, rep.Age = c.revision, c.members.Revision(), c.age(now)
		rep.Words = words(c.members.RecentAnnouncements(now.Add(-wordsFor), mostWords))
		if c.revision > req.Revision {
			rep.Config = c.config(req.Revision)
		}
		if rep.Listed > req.Listed {
			rep.Listing = listing(rep.Listed, c.members.ListedInstances())
		}
		c.hear(now, req.Words)
		if c.takeChanges(req.Config, "daemon") {
			rep.Revision = c.revision
			c.push(c.before())
		}
	})
	if err != nil {
		return nil, eris.Wrap(err, "sync")
	}
	return rep, nil
}

// hear takes words and passes news on.
func (c *Control) hear(now time.Time, ws []*berylwire.Word) {
	news := false
	for _, w := range ws {
		if w.Instance == nil || w.Instance.Id == c.self.ID {
			continue
		}
		word := berylannouncement.Announcement{Instance: instance(w.Instance), Epoch: w.Epoch, Count: w.Count}
		news = c.members.ApplyAnnouncement(now, word) || news
	}
	if news {
		c.publish()
		c.push(none)
	}
}

// answered takes the reply of addr and gives it what it lacks.
func (c *Control) answered(addr string, base int64, rep *berylwire.SyncReply) {
	now := time.Now()
	c.synced = true
	c.heardAge(now, rep.Age)
	changed := c.takeChanges(rep.Config, "daemon "+addr)
	if base != none && rep.Revision < c.revision && rep.Revision != base {
		// It could not use what went along.
		c.sync(addr, rep.Revision)
	}
	if l := rep.Listing; l != nil {
		list := make([]berylinstance.Instance, len(l.Instances))
		for i, in := range l.Instances {
			list[i] = instance(in)
		}
		if c.members.ApplyList(l.Revision, list) {
			c.publish()
			c.push(none)
		}
	}
	c.hear(now, rep.Words)
	if changed {
		c.push(c.before())
	}
}

// Ready tells whether a configuration is in force and, when other daemons are
// known, one of them was asked for a newer one.
func (c *Control) Ready(ctx context.Context) bool {
	ready := false
	err := c.loop.Do(ctx, func() {
		alone := len(c.neighbours()) == 0
		ready = c.revision > 0 && (c.synced || alone || time.Since(c.begun) > staleAfter)
	})
	return err == nil && ready
}

func words(ws []berylannouncement.Announcement) []*berylwire.Word {
	out := make([]*berylwire.Word, len(ws))
	for i, w := range ws {
		out[i] = &berylwire.Word{Instance: wired(w.Instance), Epoch: w.Epoch, Count: w.Count}
	}
	return out
}

func listing(rev int64, list []berylinstance.Instance) *berylwire.Listing {
	out := &berylwire.Listing{Revision: rev}
	for _, i := range list {
		out.Instances = append(out.Instances, wired(i))
	}
	return out
}

func wired(i berylinstance.Instance) *berylwire.Instance {
	return &berylwire.Instance{Id: i.ID, Service: i.Service, Zone: i.Zone, Peer: i.PeerAddr, Leaving: i.Leaving}
}

func instance(i *berylwire.Instance) berylinstance.Instance {
	return berylinstance.Instance{ID: i.Id, Service: i.Service, Zone: i.Zone, PeerAddr: i.Peer, Leaving: i.Leaving}
}
