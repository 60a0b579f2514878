package berylshardowner

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

// Grant answers a daemon's request for tokens. All workspaces in one request must belong
// to the same shard.
func (o *Owner) Grant(ctx context.Context, req *berylwire.GrantRequest) (*berylwire.GrantReply, error) {
	reply := &berylwire.GrantReply{}
	err := o.loop.Do(ctx, func() {
		for _, ask := range req.Asks {
			if !o.grant(ask, req.Holder, reply) {
				return
			}
		}
	})
	if err != nil {
		return nil, eris.Wrap(err, "grant")
	}
	return reply, nil
}

// grant answers one ask of a request and reports whether this instance owns the shard of
// the workspace.
func (o *Owner) grant(ask *berylwire.Ask, requester string, reply *berylwire.GrantReply) bool {
	now := o.clock()
	shard := berylshard.Of(ask.Workspace)
	ownership, holder := o.shards.OwnershipForRequest(now, shard)
	reply.Owner, reply.Holder = ownership != nil, holder
	if ownership == nil {
		return false
	}
	tokenRequest := beryltokenrequest.Request{Workspace: ask.Workspace, ID: ask.Id, Requester: requester, Demand: ask.Demand, Remote: ask.Lend}
	copy(tokenRequest.Want[:], ask.Want)
	for _, spent := range ask.Spent {
		tokenRequest.Usage = append(tokenRequest.Usage, beryltokenusage.Usage{BatchID: spent.Id, Tokens: spent.N, Closed: spent.Closed})
	}
	rate, burst := o.share.Limits(now, ask.Workspace)
	batch := ownership.Granter.Grant(now, ownership.ExpiresAt, tokenRequest, rate, burst)
	o.guard.Check(ownership.Granter.WithinBurst(ask.Workspace), berylinvariant.Rate, "available and outstanding tokens of workspace %s exceed its burst", ask.Workspace)
	reply.Batches = append(reply.Batches, &berylwire.Batch{Id: batch.ID, N: batch.Tokens, Life: int64(batch.TTL), Demand: batch.FleetDemand})
	return true
}

// Claim decides whether a call with an idempotency key may run and records the key if so.
func (o *Owner) Claim(ctx context.Context, req *berylwire.ClaimRequest) (*berylwire.ClaimReply, error) {
	reply := &berylwire.ClaimReply{}
	err := o.loop.Do(ctx, func() {
		ownership, holder := o.shards.OwnershipForRequest(o.clock(), int(req.Shard))
		reply.Owner, reply.Holder = ownership != nil, holder
		if ownership == nil {
			return
		}
		verdict, answer := ownership.Records.Claim(time.Now(), req.Key, req.Idempotency, req.Call)
		reply.Verdict, reply.Answer = int32(verdict), answer
	})
	if err != nil {
		return nil, eris.Wrap(err, "claim")
	}
	return reply, nil
}

// Settle records how the call that claimed an idempotency key ended.
func (o *Owner) Settle(ctx context.Context, req *berylwire.SettleRequest) (*berylwire.SettleReply, error) {
	reply := &berylwire.SettleReply{}
	err := o.loop.Do(ctx, func() {
		ownership, _ := o.shards.OwnershipForRequest(o.clock(), int(req.Shard))
		if ownership == nil {
			return
		}
		reply.Owner = true
		ownership.Records.Settle(req.Key, req.Call, req.Ran, req.Done, req.Answer)
	})
	if err != nil {
		return nil, eris.Wrap(err, "settle")
	}
	return reply, nil
}
