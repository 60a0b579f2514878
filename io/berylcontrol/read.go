package berylcontrol

import (
	"context"
	"time"

	"berylspan/io/berylclock"
)

// reader tells whether this instance watches the platform: the first few of its
// data centre do, and more of them while nobody hears from the platform.
func (c *Control) reader(now time.Time) bool {
	n := readers
	if age := now.Sub(c.confirmed); age > staleAfter && now.Sub(c.begun) > staleAfter {
		n += min(int((age-staleAfter)/staleStep), moreReaders)
	}
	c.rank()
	return c.ranks.reader < n
}

// read starts a watch of each published value unless one is going on.
func (c *Control) read(ctx context.Context, first bool) {
	wait := watchFor
	if first || c.revision == 0 {
		wait = 0
	}
	c.watch(ctx, &c.readingLists, c.revision, wait, c.readLists)
	c.watch(ctx, &c.readingInstances, c.members.Revision(), wait, c.readInstances)
}

func (c *Control) watch(ctx context.Context, going *bool, after int64, wait time.Duration, read func(context.Context, int64, time.Duration)) {
	if *going {
		return
	}
	*going = true
	c.senders.Go(func() {
		read(ctx, after, wait)
		_ = c.loop.Post(ctx, func() { *going = false })
	})
}

func (c *Control) readLists(ctx context.Context, after int64, wait time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, wait+2*time.Second)
	defer cancel()
	c.calls.Add(1)
	rev, ws, plans, err := c.platform.Lists(ctx, after, wait)
	if err != nil {
		c.log.Warn().Err(err).Msg("the platform did not answer for the lists")
		berylclock.Sleep(ctx, failPause)
		return
	}
	if rev > 0 && rev <= after {
		// A stale platform answers at once.
		berylclock.Sleep(ctx, failPause)
	}
	_ = c.loop.Post(ctx, func() {
		c.confirmed = time.Now()
		if rev > 0 && c.takeLists(rev, ws, plans) {
			c.push(c.before())
		}
	})
}

func (c *Control) readInstances(ctx context.Context, after int64, wait time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, wait+2*time.Second)
	defer cancel()
	c.calls.Add(1)
	rev, list, err := c.platform.Instances(ctx, after, wait)
	if err != nil {
		c.log.Warn().Err(err).Msg("the platform did not answer for the instances")
		berylclock.Sleep(ctx, failPause)
		return
	}
	_ = c.loop.Post(ctx, func() {
		if rev > 0 && c.members.ApplyList(rev, list) {
			c.publish()
			c.push(none)
		}
	})
}
