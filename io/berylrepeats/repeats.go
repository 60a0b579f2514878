// Package berylrepeats asks the owners of idempotency keys before a call runs
// and tells them afterwards how it ended.
package berylrepeats

import (
	"context"
	"errors"
	"time"

	"berylspan/core/berylcall"
	"berylspan/core/berylclaim"
	"berylspan/core/berylidempotency"
	"berylspan/core/beryloutcome"
	"berylspan/core/berylrefusal"
	"berylspan/core/berylshard"
	"berylspan/core/berylsnapshot"
	"berylspan/io/berylclients"
	"berylspan/io/berylwire"

	"connectrpc.com/connect"
)

// Repeats is safe for concurrent use.
type Repeats struct {
	state   func() *berylsnapshot.Snapshot
	clients *berylclients.Clients
}

const (
	askTimeout    = 300 * time.Millisecond
	settleTimeout = time.Second
	maxKey        = 256     // bytes
	maxAnswer     = 4 << 10 // bytes of an answer that are kept for repeats
	owners        = 3
	pushback      = time.Second
)

// New returns repeats for a daemon.
func New(state func() *berylsnapshot.Snapshot, clients *berylclients.Clients) *Repeats {
	return &Repeats{state: state, clients: clients}
}

// Run runs the call by send unless its idempotency key was used before.
func (r *Repeats) Run(ctx context.Context, c *berylcall.Call, send func() *beryloutcome.Outcome) *beryloutcome.Outcome {
	if c.IdempotencyKey == "" || c.Route.Idempotent || c.Workspace == "" {
		return send()
	}
	if len(c.IdempotencyKey) > maxKey {
		return beryloutcome.Refuse(berylrefusal.NewNotRun(berylrefusal.Form, connect.CodeInvalidArgument, "the idempotency key is too long"), c.RetriesLeft)
	}
	// Another route, or another call of the same root, is another operation.
	key := c.Route.Path + "/" + c.IdempotencyKey
	until, answer, ref := r.claim(ctx, c.Workspace, key, c.IdempotencyKey, c.ID)
	if ref != nil {
		return beryloutcome.Refuse(ref, c.RetriesLeft)
	}
	if answer != nil {
		return kept(answer, c.RetriesLeft)
	}
	if c.StartBy.IsZero() || until.Before(c.StartBy) {
		c.StartBy = until
	}
	out := send()
	r.settle(ctx, c.Workspace, key, c.ID, out)
	return out
}

// claim asks whether the call id may run under the workspace's key. It returns
// until when the call must have begun, or the answer of an earlier run, or a
// refusal, which is always true when it says that this call did not run.
func (r *Repeats) claim(ctx context.Context, workspace, key, idempotency, id string) (time.Time, []byte, *berylrefusal.Refusal) {
	full := workspace + "/" + key
	asked := time.Now()
	req := &berylwire.ClaimRequest{Shard: int32(berylshard.Of(full)), Key: full, Idempotency: idempotency, Call: id}
	rep, ok := r.ask(ctx, full, req)
	if !ok {
		// A claim whose answer was lost may stand; this call will not use it.
		r.settle(ctx, workspace, key, id, beryloutcome.Refuse(berylrefusal.NewNotRun(berylrefusal.Owner, 0, ""), 0))
		ref := berylrefusal.NewNotRun(berylrefusal.Owner, connect.CodeUnavailable, "the daemon that knows whether this idempotency key was used cannot be reached")
		ref.RetryAfter = pushback
		return time.Time{}, nil, ref
	}
	switch berylclaim.Verdict(rep.Verdict) {
	case berylclaim.Allowed:
		return asked.Add(berylidempotency.ClaimTTL), nil, nil
	case berylclaim.Completed:
		if len(rep.Answer) > 0 {
			return time.Time{}, rep.Answer, nil
		}
		return time.Time{}, nil, berylrefusal.NewMaybeRun(berylrefusal.Repeat, connect.CodeAlreadyExists, "a call with this idempotency key ran before; its answer is not kept")
	case berylclaim.Indeterminate:
		return time.Time{}, nil, berylrefusal.NewMaybeRun(berylrefusal.Repeat, connect.CodeAborted, "a call with this idempotency key is running or ended unknown")
	case berylclaim.TooManyRecords:
		ref := berylrefusal.NewNotRun(berylrefusal.Owner, connect.CodeResourceExhausted, "too many idempotency keys are in use")
		ref.RetryAfter = pushback
		return time.Time{}, nil, ref
	}
	return time.Time{}, nil, berylrefusal.NewMaybeRun(berylrefusal.Owner, connect.CodeUnavailable, "the daemon that keeps this idempotency key began too recently to know whether it was used")
}

// ask turns to the owner of the shard in the key's home data centre.
func (r *Repeats) ask(ctx context.Context, full string, req *berylwire.ClaimRequest) (*berylwire.ClaimReply, bool) {
	for _, addr := range r.addresses(full, int(req.Shard)) {
		rep, err := r.send(ctx, addr, req)
		if err != nil {
			// The claim may have been recorded; another owner would not know.
			continue
		}
		if rep.Owner {
			return rep, true
		}
		if to := r.state().Addresses[rep.Holder]; to != "" && to != addr {
			if rep, err = r.send(ctx, to, req); err == nil && rep.Owner {
				return rep, true
			}
		}
	}
	return nil, false
}

func (r *Repeats) addresses(full string, shard int) []string {
	s := r.state()
	zone := berylshard.HomeZone(full, s.Config.Zones)
	var out []string
	for _, id := range s.Ranking(zone).Top(owners, shard) {
		out = append(out, s.Addresses[id])
	}
	return out
}

func (r *Repeats) send(ctx context.Context, addr string, req *berylwire.ClaimRequest) (*berylwire.ClaimReply, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	return r.clients.For(addr).Claim(ctx, req)
}

// settle tells the owner how the call ended. It goes on after the caller has
// gone.
func (r *Repeats) settle(ctx context.Context, workspace, key, id string, out *beryloutcome.Outcome) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	full := workspace + "/" + key
	shard := berylshard.Of(full)
	req := &berylwire.SettleRequest{Shard: int32(shard), Key: full, Call: id}
	req.Ran = out.Refusal == nil || out.Refusal.MayHaveRun
	req.Done = out.Refusal == nil
	req.Answer = keep(out)
	for _, addr := range r.addresses(full, shard) {
		if rep, err := r.clients.For(addr).Settle(ctx, req); err == nil && rep.Owner {
			return
		}
	}
}

// keep returns the answer as the owner keeps it, nil when there is none or it
// is too large. The first byte is 0, or the code of the backend server's error.
func keep(out *beryloutcome.Outcome) []byte {
	switch {
	case out.Refusal != nil || len(out.Body) >= maxAnswer:
		return nil
	case out.Err != nil:
		return append([]byte{byte(out.Err.Code())}, out.Err.Message()...)
	}
	return append([]byte{0}, out.Body...)
}

// kept is the reverse of keep.
func kept(answer []byte, left int) *beryloutcome.Outcome {
	if answer[0] == 0 {
		return &beryloutcome.Outcome{Body: answer[1:], RetriesLeft: left}
	}
	err := connect.NewError(connect.Code(answer[0]), errors.New(string(answer[1:])))
	return &beryloutcome.Outcome{Err: err, RetriesLeft: left}
}
