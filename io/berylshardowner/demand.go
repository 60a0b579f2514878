package berylshardowner

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"berylspan/core/berylshard"
	"berylspan/core/berylsnapshot"
	"berylspan/io/berylwire"
)

const demandReportInterval = 500 * time.Millisecond

// reportDemand sends the local demand of the workspaces in each owned shard to the
// owners of the same shard in the other data centres, so that every owner knows the
// demand of the whole fleet.
func (o *Owner) reportDemand(ctx context.Context, now time.Time, s *berylsnapshot.Snapshot) {
	if now.Sub(o.demandReportedAt) < demandReportInterval {
		return
	}
	o.demandReportedAt = now
	for shard := range berylshard.Count {
		ownership, _ := o.shards.Ownership(now, shard)
		if ownership == nil {
			continue
		}
		localDemand := ownership.Granter.LocalDemand(now)
		for zone := range s.IDsByZone {
			if zone != o.zone && len(localDemand) > 0 {
				o.sendDemand(ctx, s, zone, &berylwire.DemandRequest{Shard: int32(shard), Zone: o.zone, Demand: localDemand})
			}
		}
	}
}

// sendDemand sends req to the last known owner of the shard in zone, or to the instance
// that ranks first for the shard when the owner is unknown. The reply names the owner
// for the next report.
func (o *Owner) sendDemand(ctx context.Context, s *berylsnapshot.Snapshot, zone string, req *berylwire.DemandRequest) {
	key := zoneShard{zone, int(req.Shard)}
	addr := s.Addresses[o.remoteOwners[key]]
	if addr == "" {
		ranked := s.Ranking(zone).Top(1, key.shard)
		addr = s.Addresses[ranked[0]]
	}
	o.requests.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, requestTimeout)
		defer cancel()
		reply, err := o.clients.For(addr).Demand(ctx, req)
		if err != nil {
			reply = &berylwire.DemandReply{}
		}
		_ = o.loop.Post(ctx, func() { o.remoteOwners[key] = reply.Holder })
	})
}

// Demand records the demand reported by the owner of the same shard in another data
// centre. The reply names the owner of the shard in this data centre, if known.
func (o *Owner) Demand(ctx context.Context, req *berylwire.DemandRequest) (*berylwire.DemandReply, error) {
	reply := &berylwire.DemandReply{}
	err := o.loop.Do(ctx, func() {
		now := o.clock()
		ownership, holder := o.shards.OwnershipForRequest(now, int(req.Shard))
		reply.Holder = holder
		if ownership != nil {
			ownership.Granter.ReportRemoteDemand(now, req.Zone, req.Demand)
		}
	})
	if err != nil {
		return nil, eris.Wrap(err, "demand")
	}
	return reply, nil
}
