package beryldaemon

import (
	"context"

	"berylspan/io/berylcontrol"
	"berylspan/io/berylshardowner"
	"berylspan/io/berylwire"
)

// service joins the parts that answer control messages.
type service struct {
	control *berylcontrol.Control
	owner   *berylshardowner.Owner
}

func (s *service) Sync(ctx context.Context, req *berylwire.SyncRequest) (*berylwire.SyncReply, error) {
	return s.control.Sync(ctx, req)
}

func (s *service) Promise(ctx context.Context, req *berylwire.PromiseRequest) (*berylwire.PromiseReply, error) {
	return s.owner.Promise(ctx, req)
}

func (s *service) Grant(ctx context.Context, req *berylwire.GrantRequest) (*berylwire.GrantReply, error) {
	return s.owner.Grant(ctx, req)
}

func (s *service) Demand(ctx context.Context, req *berylwire.DemandRequest) (*berylwire.DemandReply, error) {
	return s.owner.Demand(ctx, req)
}

func (s *service) Claim(ctx context.Context, req *berylwire.ClaimRequest) (*berylwire.ClaimReply, error) {
	return s.owner.Claim(ctx, req)
}

func (s *service) Settle(ctx context.Context, req *berylwire.SettleRequest) (*berylwire.SettleReply, error) {
	return s.owner.Settle(ctx, req)
}
