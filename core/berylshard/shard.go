// Package berylshard assigns workspaces and idempotency keys to shards and ranks the
// instances that may own a shard.
package berylshard

import (
	"strconv"
	"sync/atomic"

	"berylspan/core/berylhash"
	"berylspan/core/berylzone"
)

// Ranking ranks the instances of one data centre for each shard. The instances are
// ranked for a shard when Top is first called for it. Ranking is safe for concurrent
// use.
type Ranking struct {
	zone        string
	instanceIDs []string
	top         [Count]atomic.Pointer[[]string]
}

// Count is the number of shards in each data centre.
const Count = 64

// Of returns the shard that key, a workspace or an idempotency key, belongs to.
func Of(key string) int { return berylhash.Shard(key, Count) }

// HomeZone returns the data centre that keeps the record of an idempotency key, or an
// empty string when zones is empty. It depends only on key and on the zones of the
// accepted configuration, not on the instance list.
func HomeZone(key string, zones []berylzone.Zone) string {
	zoneNames := make([]string, len(zones))
	for i, z := range zones {
		zoneNames[i] = z.Name
	}
	top := berylhash.Top(1, "home/"+key, zoneNames)
	if len(top) == 0 {
		return ""
	}
	return top[0]
}

// NewRanking returns the ranking of the instances of zone with the given IDs.
func NewRanking(zone string, ids []string) *Ranking { return &Ranking{zone: zone, instanceIDs: ids} }

// Top returns the n instances that rank first for shard, best first, or all when there
// are fewer. n must be at most 8.
func (r *Ranking) Top(n, shard int) []string {
	t := r.top[shard].Load()
	if t == nil {
		all := berylhash.Top(8, r.zone+"/"+strconv.Itoa(shard), r.instanceIDs)
		t = &all
		r.top[shard].Store(t)
	}
	return (*t)[:min(n, len(*t))]
}
