package berylowner

import (
	"context"
	"time"

	"berylspan/core/berylinvariant"
	"berylspan/core/berylshard"
	"berylspan/core/beryltokenrequest"
	"berylspan/core/beryltokenusage"
	"berylspan/io/berylwire"

	"github.com/rotisserie/eris"
)

// Grant answers holders that ask for tokens. All asks of one request must be
// for workspaces of the same shard.
func (o *Owner) Grant(ctx context.Context, req *berylwire.GrantRequest) (*berylwire.GrantReply, error) {
	rep := &berylwire.GrantReply{}
	err := o.loop.Do(ctx, func() {
		for _, a := range req.Asks {
			if !o.grant(a, req.Holder, rep) {
				return
			}
		}
	})
	if err != nil {
		return nil, eris.Wrap(err, "grant")
	}
	return rep, nil
}

func (o *Owner) grant(a *berylwire.Ask, from string, rep *berylwire.GrantReply) bool {
	now := o.clock()
	shard := berylshard.Of(a.Workspace)
	own, holder := o.shards.OwnershipForRequest(now, shard)
	rep.Owner, rep.Holder = own != nil, holder
	if own == nil {
		return false
	}
	ask := beryltokenrequest.Request{Workspace: a.Workspace, ID: a.Id, Requester: from, Demand: a.Demand, Remote: a.Lend}
	copy(ask.Want[:], a.Want)
	for _, s := range a.Spent {
		ask.Usage = append(ask.Usage, beryltokenusage.Usage{BatchID: s.Id, Tokens: s.N, Closed: s.Closed})
	}
	rate, burst := o.share.Limits(now, a.Workspace)
	b := own.Granter.Grant(now, own.ExpiresAt, ask, rate, burst)
	o.guard.Check(own.Granter.WithinBurst(a.Workspace), berylinvariant.Rate, "more tokens of %s are out than its burst", a.Workspace)
	rep.Batches = append(rep.Batches, &berylwire.Batch{Id: b.ID, N: b.Tokens, Life: int64(b.TTL), Demand: b.FleetDemand})
	return true
}

// Claim answers whether a call with an idempotency key may run.
func (o *Owner) Claim(ctx context.Context, req *berylwire.ClaimRequest) (*berylwire.ClaimReply, error) {
	rep := &berylwire.ClaimReply{}
	err := o.loop.Do(ctx, func() {
		own, holder := o.shards.OwnershipForRequest(o.clock(), int(req.Shard))
		rep.Owner, rep.Holder = own != nil, holder
		if own == nil {
			return
		}
		v, answer := own.Records.Claim(time.Now(), req.Key, req.Idempotency, req.Call)
		rep.Verdict, rep.Answer = int32(v), answer
	})
	if err != nil {
		return nil, eris.Wrap(err, "claim")
	}
	return rep, nil
}

// Settle records how a claimed call ended.
func (o *Owner) Settle(ctx context.Context, req *berylwire.SettleRequest) (*berylwire.SettleReply, error) {
	rep := &berylwire.SettleReply{}
	err := o.loop.Do(ctx, func() {
		own, _ := o.shards.OwnershipForRequest(o.clock(), int(req.Shard))
		if own == nil {
			return
		}
		rep.Owner = true
		own.Records.Settle(req.Key, req.Call, req.Ran, req.Done, req.Answer)
	})
	if err != nil {
		return nil, eris.Wrap(err, "settle")
	}
	return rep, nil
}
