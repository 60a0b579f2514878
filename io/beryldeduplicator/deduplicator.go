// Package beryldeduplicator keeps a retry with an idempotency key from running the call again.
// Before such a call runs, it claims the key at the owner of the key's shard; afterwards
// it reports to the owner how the call ended.
package beryldeduplicator

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"time"

	"berylspan/core/berylcall"
	"berylspan/core/berylclaim"
	"berylspan/core/berylidempotency"
	"berylspan/core/beryloutcome"
	"berylspan/core/berylrefusal"
	"berylspan/core/berylshard"
	"berylspan/core/berylsnapshot"
	"berylspan/io/berylcontrolclients"
	"berylspan/io/berylwire"

	"connectrpc.com/connect"
)

// Deduplicator claims and settles idempotency keys. It keeps no records itself. It is
// safe for concurrent use.
type Deduplicator struct {
	snapshot func() *berylsnapshot.Snapshot
	clients  *berylcontrolclients.Clients
}

const (
	claimTimeout   = 300 * time.Millisecond
	settleTimeout  = time.Second
	maxKeyBytes    = 256
	maxAnswerBytes = 4 << 10 // of an encoded body; larger ones are not kept for retries
	maxCandidates  = 3       // highest-ranked instances to ask
	retryAfter     = time.Second
)

// New returns a deduplicator that finds the owners by the rankings in snapshot.
func New(snapshot func() *berylsnapshot.Snapshot, clients *berylcontrolclients.Clients) *Deduplicator {
	return &Deduplicator{snapshot: snapshot, clients: clients}
}

// Run runs the call with send if its idempotency key can be claimed; otherwise it returns
// the answer of the earlier call with the key or a refusal. Calls without an idempotency
// key or a workspace and calls of idempotent routes always run. Run limits c.StartBy to
// the lifetime of the claim.
func (d *Deduplicator) Run(ctx context.Context, c *berylcall.Call, send func() *beryloutcome.Outcome) *beryloutcome.Outcome {
	if c.IdempotencyKey == "" || c.Route.Idempotent || c.Workspace == "" {
		return send()
	}
	if len(c.IdempotencyKey) > maxKeyBytes {
		return beryloutcome.Refuse(berylrefusal.NewNotRun(berylrefusal.Form, connect.CodeInvalidArgument, "the idempotency key is too long"), c.RetriesLeft)
	}
	// The same idempotency key identifies a different operation on another route.
	key := c.Route.Path + "/" + c.IdempotencyKey
	// The call's ID does not tell it from the other calls below the same root call.
	claimID := strconv.FormatUint(rand.Uint64(), 36)
	startBy, answer, refusal := d.claim(ctx, c.Workspace, key, c.IdempotencyKey, claimID)
	if refusal != nil {
		return beryloutcome.Refuse(refusal, c.RetriesLeft)
	}
	if answer != nil {
		return decodeAnswer(answer, c.RetriesLeft)
	}
	if c.StartBy.IsZero() || startBy.Before(c.StartBy) {
		c.StartBy = startBy
	}
	out := send()
	d.settle(ctx, c.Workspace, key, claimID, out)
	return out
}

// claim asks the owner of the workspace's key whether the call may run. It returns the
// time until which the call may begin, the encoded answer of an earlier call with the
// key, or a refusal. A refusal as not run is returned only if it is certain that this
// call did not run.
func (d *Deduplicator) claim(ctx context.Context, workspace, key, idempotencyKey, claimID string) (time.Time, []byte, *berylrefusal.Refusal) {
	recordKey := workspace + "/" + key
	requestedAt := time.Now()
	req := &berylwire.ClaimRequest{Shard: int32(berylshard.Of(recordKey)), Key: recordKey, Idempotency: idempotencyKey, Call: claimID}
	reply, ok := d.requestClaim(ctx, recordKey, req)
	if !ok {
		// The owner may have recorded a claim whose answer was lost. This call will
		// not run, so the claim is released.
		d.settle(ctx, workspace, key, claimID, beryloutcome.Refuse(berylrefusal.NewNotRun(berylrefusal.Owner, 0, ""), 0))
		refusal := berylrefusal.NewNotRun(berylrefusal.Owner, connect.CodeUnavailable, "the daemon that knows whether this idempotency key was used cannot be reached")
		refusal.RetryAfter = retryAfter
		return time.Time{}, nil, refusal
	}
	switch berylclaim.Verdict(reply.Verdict) {
	case berylclaim.Allowed:
		return requestedAt.Add(berylidempotency.ClaimTTL), nil, nil
	case berylclaim.Completed:
		if len(reply.Answer) > 0 {
			return time.Time{}, reply.Answer, nil
		}
		return time.Time{}, nil, berylrefusal.NewMaybeRun(berylrefusal.Repeat, connect.CodeAlreadyExists, "a call with this idempotency key ran before; its answer is not kept")
	case berylclaim.Indeterminate:
		return time.Time{}, nil, berylrefusal.NewMaybeRun(berylrefusal.Repeat, connect.CodeAborted, "a call with this idempotency key is running or ended unknown")
	case berylclaim.TooManyRecords:
		refusal := berylrefusal.NewNotRun(berylrefusal.Owner, connect.CodeResourceExhausted, "too many idempotency keys are in use")
		refusal.RetryAfter = retryAfter
		return time.Time{}, nil, refusal
	}
	return time.Time{}, nil, berylrefusal.NewMaybeRun(berylrefusal.Owner, connect.CodeUnavailable, "the daemon that keeps this idempotency key began too recently to know whether it was used")
}

// requestClaim sends the claim to the owner of the shard in the home data centre of
// recordKey. It returns false when no owner answered.
func (d *Deduplicator) requestClaim(ctx context.Context, recordKey string, req *berylwire.ClaimRequest) (*berylwire.ClaimReply, bool) {
	for _, addr := range d.candidateAddresses(recordKey, int(req.Shard)) {
		reply, err := d.sendClaim(ctx, addr, req)
		if err != nil {
			// The claim may have been recorded; another owner would not know of it.
			continue
		}
		if reply.Owner {
			return reply, true
		}
		if holderAddr := d.snapshot().Addresses[reply.Holder]; holderAddr != "" && holderAddr != addr {
			if reply, err = d.sendClaim(ctx, holderAddr, req); err == nil && reply.Owner {
				return reply, true
			}
		}
	}
	return nil, false
}

// candidateAddresses returns the addresses of the instances that rank first for shard in
// the home data centre of recordKey.
func (d *Deduplicator) candidateAddresses(recordKey string, shard int) []string {
	s := d.snapshot()
	zone := berylshard.HomeZone(recordKey, s.Config.Zones)
	var out []string
	for _, id := range s.Ranking(zone).Top(maxCandidates, shard) {
		out = append(out, s.Addresses[id])
	}
	return out
}

func (d *Deduplicator) sendClaim(ctx context.Context, addr string, req *berylwire.ClaimRequest) (*berylwire.ClaimReply, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	return d.clients.For(addr).Claim(ctx, req)
}

// settle reports to the owner how the call ended. It continues when the caller has
// cancelled ctx.
func (d *Deduplicator) settle(ctx context.Context, workspace, key, claimID string, out *beryloutcome.Outcome) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	recordKey := workspace + "/" + key
	shard := berylshard.Of(recordKey)
	req := &berylwire.SettleRequest{Shard: int32(shard), Key: recordKey, Call: claimID}
	req.Ran = out.Refusal == nil || out.Refusal.MayHaveRun
	req.Done = out.Refusal == nil
	req.Answer = encodeAnswer(out)
	for _, addr := range d.candidateAddresses(recordKey, shard) {
		if reply, err := d.clients.For(addr).Settle(ctx, req); err == nil && reply.Owner {
			return
		}
	}
}

// encodeAnswer returns the answer as the owner records it, or nil when there is none or
// it is too large. The first byte is 0 or the code of the backend server's error.
func encodeAnswer(out *beryloutcome.Outcome) []byte {
	switch {
	case out.Refusal != nil || len(out.Body) >= maxAnswerBytes:
		return nil
	case out.Err != nil:
		return append([]byte{byte(out.Err.Code())}, out.Err.Message()...)
	}
	return append([]byte{0}, out.Body...)
}

// decodeAnswer is the inverse of encodeAnswer.
func decodeAnswer(answer []byte, retriesLeft int) *beryloutcome.Outcome {
	if answer[0] == 0 {
		return &beryloutcome.Outcome{Body: answer[1:], RetriesLeft: retriesLeft}
	}
	err := connect.NewError(connect.Code(answer[0]), errors.New(string(answer[1:])))
	return &beryloutcome.Outcome{Err: err, RetriesLeft: retriesLeft}
}
