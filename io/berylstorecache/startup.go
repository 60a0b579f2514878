package berylstorecache

import (
	"context"
	"time"

	"berylspan/core/berylregistration"
	"berylspan/io/berylpanic"
)

// startupTimeout bounds how long a started instance waits for other instances before it uses
// what it has read from the store.
const startupTimeout = 250 * time.Millisecond

// StartupPeers sets the function that returns the addresses of the instances to ask before
// the first read of the store is used, given the servers that were read.
func StartupPeers(f func(servers []berylregistration.Registration) []string) func(*StoreCache) {
	return func(c *StoreCache) { c.startupPeers = f }
}

// fetchAtStartup fetches what other instances know. A started instance has no state to
// compare the store with: if the store is behind, it still holds keys that were withdrawn
// and servers that have left. fetchAtStartup returns as soon as one instance knows at least
// what was read.
func (c *StoreCache) fetchAtStartup(ctx context.Context, read *ReadResult) map[string]*Snapshot {
	ctx, cancel := context.WithTimeout(ctx, startupTimeout)
	defer cancel()
	type reply struct {
		addr     string
		snapshot *Snapshot
		err      error
	}
	addrs := c.startupPeers(read.Updated)
	replies := make(chan reply, len(addrs))
	for _, addr := range addrs {
		go func() { // Ends within startupTimeout.
			r := reply{addr: addr, err: berylpanic.ErrPanic}
			c.guard(panicPart, func() { r.snapshot, r.err = c.fetch(ctx, addr, KnownVersions{}) })
			replies <- r
		}()
	}
	snapshots := map[string]*Snapshot{}
	for range addrs {
		r := <-replies
		if r.err != nil {
			c.log.Info().Err(r.err).Str("peer", r.addr).Msg("peer not reached at startup")
			continue
		}
		if r.snapshot.ConfigVersion == 0 {
			continue // It has just started too and knows nothing.
		}
		snapshots[r.addr] = r.snapshot
		if comparePosition(r.snapshot.Era, r.snapshot.Revision, read.Era, read.Revision) >= 0 {
			break
		}
	}
	return snapshots
}
