// Package berylrates spends tokens for callers' calls and fetches them ahead of
// need.
package berylrates

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"berylspan/core/berylclass"
	"berylspan/core/berylrefusal"
	"berylspan/core/berylshard"
	"berylspan/core/berylsnapshot"
	"berylspan/core/beryltiming"
	"berylspan/core/beryltokenbatch"
	"berylspan/core/beryltokencache"
	"berylspan/core/beryltokenrequest"
	"berylspan/core/berylworkspace"
	"berylspan/io/berylclients"
	"berylspan/io/berylclock"
	"berylspan/io/berylwire"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"
)

// Rates is safe for concurrent use.
type Rates struct {
	self    string
	zone    string
	state   func() *berylsnapshot.Snapshot
	clients *berylclients.Clients
	clock   berylclock.Clock
	ctx     context.Context
	cancel  context.CancelFunc
	fetches sync.WaitGroup

	mu     sync.Mutex
	holder *beryltokencache.TokenCache
	news   map[string]chan struct{}
	owners map[place]string
}

type place struct {
	zone  string
	shard int
}

const (
	maxWait     = 200 * time.Millisecond // of a call for a token
	nearTimeout = 60 * time.Millisecond
	farTimeout  = 150 * time.Millisecond
	tickEvery   = 20 * time.Millisecond
	maxAfter    = 10 * time.Second
)

// Clock sets the clock.
func Clock(c berylclock.Clock) func(*Rates) { return func(r *Rates) { r.clock = c } }

// New returns rates for the daemon self of zone. Close ends the fetches that it
// starts.
func New(self, zone string, state func() *berylsnapshot.Snapshot, clients *berylclients.Clients, opts ...func(*Rates)) *Rates {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Rates{
		self:    self,
		zone:    zone,
		state:   state,
		clients: clients,
		clock:   berylclock.BootClock,
		ctx:     ctx,
		cancel:  cancel,
		holder:  beryltokencache.New(beryltiming.Default(), rand.Uint64),
		news:    map[string]chan struct{}{},
		owners:  map[place]string{},
	}
	for _, o := range opts {
		o(r)
	}
	return r
}

// Close ends all fetches and waits for them.
func (r *Rates) Close() {
	r.cancel()
	r.fetches.Wait()
}

// Run fetches tokens ahead of need until ctx ends.
func (r *Rates) Run(ctx context.Context) {
	t := time.NewTicker(tickEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			r.ahead()
		}
	}
}

func (r *Rates) ahead() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, w := range r.holder.ActiveWorkspaces(r.clock()) {
		r.plan(w)
	}
}

// zones returns the data centres of the configuration, the own one first.
func (r *Rates) zones() []string {
	cfg := r.state().Config
	if cfg == nil {
		return nil
	}
	out := []string{r.zone}
	for _, z := range cfg.Zones {
		if z.Name != r.zone {
			out = append(out, z.Name)
		}
	}
	return out
}

// Use records a call of the class and returns how much of its rate the
// workspace asks of the whole fleet, 1 for all.
func (r *Rates) Use(w *berylworkspace.Workspace, class berylclass.Class) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock()
	r.holder.RecordCall(now, w.Name, class)
	return r.holder.FleetDemand(now, w.Name) / w.Plan.Rate
}

// Take spends one token of the workspace for a call of the class and returns
// until when the call may begin.
func (r *Rates) Take(ctx context.Context, w *berylworkspace.Workspace, class berylclass.Class) (time.Time, *berylrefusal.Refusal) {
	now := r.clock()
	r.mu.Lock()
	until, ok := r.holder.Take(now, w.Name, class)
	if ok {
		r.plan(w.Name)
		r.mu.Unlock()
		return r.wall(now, until), nil
	}
	r.holder.AddWaiting(now, w.Name, class, 1)
	r.mu.Unlock()
	until, ok = r.wait(ctx, w, class)
	if ok {
		return r.wall(r.clock(), until), nil
	}
	ref := berylrefusal.NewNotRun(berylrefusal.Rate, connect.CodeResourceExhausted, "no token of workspace "+w.Name+" was free; it is over the rate of its plan, or the daemons that grant its tokens cannot be reached")
	ref.RetryAfter = min(time.Duration(float64(time.Second)/w.Plan.Rate), maxAfter)
	return time.Time{}, ref
}

// wall turns a reading of the clock into a time that time.Now can be compared
// with.
func (r *Rates) wall(now, until time.Time) time.Time {
	return time.Now().Add(until.Sub(now))
}

func (r *Rates) wait(ctx context.Context, w *berylworkspace.Workspace, class berylclass.Class) (time.Time, bool) {
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	for over := false; ; {
		r.mu.Lock()
		now := r.clock()
		until, ok := r.holder.Take(now, w.Name, class)
		if ok || over || ctx.Err() != nil || r.holder.ShouldReject(now, w.Name, class, r.zones(), w.Plan.Rate, maxWait) {
			r.holder.AddWaiting(now, w.Name, class, -1)
			r.mu.Unlock()
			return until, ok
		}
		r.plan(w.Name)
		news := r.newsOf(w.Name)
		r.mu.Unlock()
		select {
		case <-news:
		case <-ctx.Done():
		case <-timer.C:
			over = true
		}
	}
}

// newsOf returns a channel that is closed at the next answer for workspace.
func (r *Rates) newsOf(workspace string) chan struct{} {
	ch := r.news[workspace]
	if ch == nil {
		ch = make(chan struct{})
		r.news[workspace] = ch
	}
	return ch
}

// plan starts a fetch when the holder wants one.
func (r *Rates) plan(workspace string) {
	zone, ask, ok := r.holder.NextRequest(r.clock(), workspace, r.zones())
	if !ok || r.ctx.Err() != nil {
		return
	}
	id, addr := r.owner(zone, berylshard.Of(workspace))
	r.fetches.Go(func() { r.fetch(zone, id, addr, ask) })
}

// owner returns the instance to ask for a shard.
func (r *Rates) owner(zone string, shard int) (id, addr string) {
	s := r.state()
	if id := r.owners[place{zone, shard}]; id != "" && s.Addresses[id] != "" {
		return id, s.Addresses[id]
	}
	top := s.Ranking(zone).Top(1, shard)
	if len(top) == 0 {
		return "", ""
	}
	return top[0], s.Addresses[top[0]]
}

func (r *Rates) fetch(zone, id, addr string, a beryltokenrequest.Request) {
	timeout := farTimeout
	if zone == r.zone {
		timeout = nearTimeout
	}
	rep, err := r.send(addr, a, timeout)
	if errors.Is(err, context.DeadlineExceeded) {
		// The connection may be silent; the next one is another.
		rep, err = r.send(addr, a, timeout)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock()
	shard := berylshard.Of(a.Workspace)
	switch {
	case err != nil:
		r.next(zone, shard, id)
		r.holder.HandleFailure(now, a.Workspace, zone, a.ID)
	case !rep.Owner || len(rep.Batches) != 1:
		r.owners[place{zone, shard}] = rep.Holder
		r.holder.HandleFailure(now, a.Workspace, zone, a.ID)
	default:
		r.owners[place{zone, shard}] = id
		b := rep.Batches[0]
		r.holder.HandleBatch(now, a.Workspace, zone, beryltokenbatch.Batch{ID: b.Id, Tokens: b.N, TTL: time.Duration(b.Life), FleetDemand: b.Demand})
	}
	if ch := r.news[a.Workspace]; ch != nil {
		close(ch)
		delete(r.news, a.Workspace)
	}
	r.plan(a.Workspace)
}

// next turns to the instance that ranks behind id, which did not answer.
func (r *Rates) next(zone string, shard int, id string) {
	top := r.state().Ranking(zone).Top(3, shard)
	for i, t := range top {
		if t == id {
			r.owners[place{zone, shard}] = top[(i+1)%len(top)]
			return
		}
	}
	delete(r.owners, place{zone, shard})
}

func (r *Rates) send(addr string, a beryltokenrequest.Request, timeout time.Duration) (*berylwire.GrantReply, error) {
	ctx, cancel := context.WithTimeout(r.ctx, timeout)
	defer cancel()
	msg := &berylwire.Ask{Workspace: a.Workspace, Id: a.ID, Want: a.Want[:], Lend: a.Remote, Demand: a.Demand}
	for _, s := range a.Usage {
		msg.Spent = append(msg.Spent, &berylwire.Spent{Id: s.BatchID, N: s.Tokens, Closed: s.Closed})
	}
	rep, err := r.clients.For(addr).Grant(ctx, &berylwire.GrantRequest{Holder: r.self, Asks: []*berylwire.Ask{msg}})
	if err != nil && ctx.Err() != nil {
		return nil, eris.Wrap(ctx.Err(), "grant")
	}
	return rep, err
}
