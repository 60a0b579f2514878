package berylowner

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"berylspan/core/berylshard"
	"berylspan/core/berylsnapshot"
	"berylspan/io/berylwire"
)

const tellEvery = 500 * time.Millisecond

// tell sends the demand on the shards owned here to the owners of the same
// shards in the other data centres, so that each knows the whole.
func (o *Owner) tell(ctx context.Context, now time.Time, s *berylsnapshot.Snapshot) {
	if now.Sub(o.told) < tellEvery {
		return
	}
	o.told = now
	for shard := range berylshard.Count {
		own, _ := o.shards.Ownership(now, shard)
		if own == nil {
			continue
		}
		near := own.Granter.LocalDemand(now)
		for zone := range s.IDsByZone {
			if zone != o.zone && len(near) > 0 {
				o.tellZone(ctx, s, zone, &berylwire.DemandRequest{Shard: int32(shard), Zone: o.zone, Demand: near})
			}
		}
	}
}

func (o *Owner) tellZone(ctx context.Context, s *berylsnapshot.Snapshot, zone string, req *berylwire.DemandRequest) {
	at := place{zone, int(req.Shard)}
	addr := s.Addresses[o.owners[at]]
	if addr == "" {
		top := s.Ranking(zone).Top(1, at.shard)
		addr = s.Addresses[top[0]]
	}
	o.senders.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, askTimeout)
		defer cancel()
		rep, err := o.clients.For(addr).Demand(ctx, req)
		if err != nil {
			rep = &berylwire.DemandReply{}
		}
		_ = o.loop.Post(ctx, func() { o.owners[at] = rep.Holder })
	})
}

// Demand takes what the owner of the shard in another data centre tells.
func (o *Owner) Demand(ctx context.Context, req *berylwire.DemandRequest) (*berylwire.DemandReply, error) {
	rep := &berylwire.DemandReply{}
	err := o.loop.Do(ctx, func() {
		now := o.clock()
		own, holder := o.shards.OwnershipForRequest(now, int(req.Shard))
		rep.Holder = holder
		if own != nil {
			own.Granter.ReportRemoteDemand(now, req.Zone, req.Demand)
		}
	})
	if err != nil {
		return nil, eris.Wrap(err, "demand")
	}
	return rep, nil
}
