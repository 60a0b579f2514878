package berylcontrol

import (
	"slices"

	"berylspan/core/berylhash"
)

// ranks is what follows from the membership by hashing. It is kept until the
// membership changes: at thousands of instances the hashing costs more than all
// else that control does.
type ranks struct {
	known      bool
	reader     int // rank of this instance among those that may watch the platform
	neighbours []string
}

func (c *Control) rank() {
	if c.ranks.known {
		return
	}
	c.ranks = ranks{known: true, reader: readers + moreReaders, neighbours: c.choose()}
	ids := c.State().IDsByZone[c.self.Zone]
	if len(ids) == 0 {
		c.ranks.reader = 0
	}
	for i, id := range berylhash.Top(readers+moreReaders, "reader/"+c.self.Zone, ids) {
		if id == c.self.ID {
			c.ranks.reader = i
		}
	}
}

// neighbours returns the addresses of the instances that this one talks to:
// the same few all the time, so that connections stay open.
func (c *Control) neighbours() []string {
	c.rank()
	return slices.Clone(c.ranks.neighbours)
}

func (c *Control) choose() []string {
	s := c.State()
	var own, other []string
	for zone, ids := range s.IDsByZone {
		for _, id := range ids {
			switch {
			case id == c.self.ID:
			case zone == c.self.Zone:
				own = append(own, id)
			default:
				other = append(other, id)
			}
		}
	}
	var out []string
	for _, id := range berylhash.Top(near, c.self.ID, own) {
		out = append(out, s.Addresses[id])
	}
	for _, id := range berylhash.Top(far, c.self.ID, other) {
		out = append(out, s.Addresses[id])
	}
	if len(out) == 0 {
		return c.seeds
	}
	return out
}
