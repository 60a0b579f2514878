// Package berylrates limits the call rate of each workspace. It spends one token for
// each call and requests tokens from the owners of shards ahead of demand.
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
	"berylspan/io/berylclock"
	"berylspan/io/berylcontrolclients"
	"berylspan/io/berylwire"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"
)

// Limiter admits calls while the daemon has tokens for their workspaces. It is safe for
// concurrent use.
type Limiter struct {
	self     string
	zone     string
	snapshot func() *berylsnapshot.Snapshot
	clients  *berylcontrolclients.Clients
	clock    berylclock.Clock
	ctx      context.Context
	cancel   context.CancelFunc
	fetches  sync.WaitGroup

	mu      sync.Mutex
	cache   *beryltokencache.TokenCache
	awaited map[string]*tokenFetch // by workspace; the next request for its tokens to end
	owners  map[zoneShard]string   // IDs of the instances to send the next requests to
}

// tokenFetch is a request for tokens that calls wait for. denied may be read once done is
// closed, and tells whether the owner of the shard granted fewer tokens than were requested.
type tokenFetch struct {
	done   chan struct{}
	denied bool
}

type zoneShard struct {
	zone  string
	shard int
}

const (
	maxTokenWait     = 200 * time.Millisecond // for a token once the owner of a shard has granted fewer than were requested
	maxOwnerWait     = time.Second            // for a token until then, as nothing tells that the workspace is over its rate
	localTimeout     = 60 * time.Millisecond  // of a request to the own data centre
	remoteTimeout    = 150 * time.Millisecond // of a request to another data centre
	prefetchInterval = 20 * time.Millisecond
	maxRetryAfter    = 10 * time.Second
)

// Clock sets the clock.
func Clock(c berylclock.Clock) func(*Limiter) { return func(l *Limiter) { l.clock = c } }

// New returns a limiter for the instance with the ID self in the data centre zone. Close
// must be called to end the requests that it starts.
func New(self, zone string, snapshot func() *berylsnapshot.Snapshot, clients *berylcontrolclients.Clients, opts ...func(*Limiter)) *Limiter {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Limiter{
		self:     self,
		zone:     zone,
		snapshot: snapshot,
		clients:  clients,
		clock:    berylclock.BootClock,
		ctx:      ctx,
		cancel:   cancel,
		cache:    beryltokencache.New(beryltiming.Default(), rand.Uint64),
		awaited:  map[string]*tokenFetch{},
		owners:   map[zoneShard]string{},
	}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// Close cancels all requests for tokens and waits until they have ended.
func (l *Limiter) Close() {
	l.cancel()
	l.fetches.Wait()
}

// Run requests tokens ahead of demand until ctx ends.
func (l *Limiter) Run(ctx context.Context) {
	t := time.NewTicker(prefetchInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			l.prefetch()
		}
	}
}

func (l *Limiter) prefetch() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, w := range l.cache.ActiveWorkspaces(l.clock()) {
		l.fetchIfDue(w)
	}
}

// zones returns the names of the configured data centres, the own one first, or nil
// before a configuration has been accepted.
func (l *Limiter) zones() []string {
	cfg := l.snapshot().Config
	if cfg == nil {
		return nil
	}
	out := []string{l.zone}
	for _, z := range cfg.Zones {
		if z.Name != l.zone {
			out = append(out, z.Name)
		}
	}
	return out
}

// RecordCall records a call of the class. It returns the rate at which the workspace
// calls the whole fleet as a fraction of the rate of its plan; the fraction is above 1
// when the workspace exceeds its plan.
func (l *Limiter) RecordCall(w *berylworkspace.Workspace, class berylclass.Class) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	l.cache.RecordCall(now, w.Name, class)
	return l.cache.FleetDemand(now, w.Name) / w.Plan.Rate
}

// Take spends one token of the workspace for a call of the class, waiting up to
// maxTokenWait for one, or up to maxOwnerWait if no owner of its shard denies one, and
// returns the time until which the call may begin.
func (l *Limiter) Take(ctx context.Context, w *berylworkspace.Workspace, class berylclass.Class) (time.Time, *berylrefusal.Refusal) {
	now := l.clock()
	l.mu.Lock()
	startBy, ok := l.cache.Take(now, w.Name, class)
	if ok {
		l.fetchIfDue(w.Name)
		l.mu.Unlock()
		return l.wallTime(now, startBy), nil
	}
	l.cache.AddWaiting(now, w.Name, class, 1)
	l.mu.Unlock()
	startBy, ok = l.waitForToken(ctx, w, class)
	if ok {
		return l.wallTime(l.clock(), startBy), nil
	}
	refusal := berylrefusal.NewNotRun(berylrefusal.Rate, connect.CodeResourceExhausted, "no token of workspace "+w.Name+" was free; it is over the rate of its plan, or the daemons that grant its tokens cannot be reached")
	refusal.RetryAfter = min(time.Duration(float64(time.Second)/w.Plan.Rate), maxRetryAfter)
	return time.Time{}, refusal
}

// wallTime converts the reading at of the limiter's clock into wall time; now is the
// current reading.
func (l *Limiter) wallTime(now, at time.Time) time.Time {
	return time.Now().Add(at.Sub(now))
}

// waitForToken spends a token as soon as one is available. It returns false when the time
// to wait has passed, when ctx ends or when the cache rejects the call. The caller must
// have added the call to the waiting ones; waitForToken removes it.
func (l *Limiter) waitForToken(ctx context.Context, w *berylworkspace.Workspace, class berylclass.Class) (time.Time, bool) {
	start := time.Now()
	timer := time.NewTimer(maxTokenWait)
	defer timer.Stop()
	for limit, denied := maxOwnerWait, false; ; {
		if denied {
			limit = maxTokenWait
		}
		l.mu.Lock()
		now := l.clock()
		startBy, ok := l.cache.Take(now, w.Name, class)
		if ok || time.Since(start) >= limit || ctx.Err() != nil || l.cache.ShouldReject(now, w.Name, class, l.zones(), w.Plan.Rate, maxTokenWait) {
			l.cache.AddWaiting(now, w.Name, class, -1)
			l.mu.Unlock()
			return startBy, ok
		}
		l.fetchIfDue(w.Name)
		fetch := l.nextFetch(w.Name)
		l.mu.Unlock()
		select {
		case <-fetch.done:
			denied = denied || fetch.denied
		case <-ctx.Done():
		case <-timer.C:
			timer.Reset(maxOwnerWait - maxTokenWait)
		}
	}
}

// nextFetch returns the request for tokens of workspace that ends next.
func (l *Limiter) nextFetch(workspace string) *tokenFetch {
	f := l.awaited[workspace]
	if f == nil {
		f = &tokenFetch{done: make(chan struct{})}
		l.awaited[workspace] = f
	}
	return f
}

// fetchIfDue starts a request for tokens of workspace if the cache has one to send.
func (l *Limiter) fetchIfDue(workspace string) {
	zone, req, ok := l.cache.NextRequest(l.clock(), workspace, l.zones())
	if !ok || l.ctx.Err() != nil {
		return
	}
	id, addr := l.likelyOwner(zone, berylshard.Of(workspace))
	l.fetches.Go(func() { l.fetch(zone, id, addr, req) })
}

// likelyOwner returns the instance to send a request to: the recorded owner of shard in
// zone or, when there is none, the instance that ranks first for the shard.
func (l *Limiter) likelyOwner(zone string, shard int) (id, addr string) {
	s := l.snapshot()
	if id := l.owners[zoneShard{zone, shard}]; id != "" && s.Addresses[id] != "" {
		return id, s.Addresses[id]
	}
	ranked := s.Ranking(zone).Top(1, shard)
	if len(ranked) == 0 {
		return "", ""
	}
	return ranked[0], s.Addresses[ranked[0]]
}

// fetch sends req to the instance id, records the answer in the cache and wakes the
// calls that wait for tokens of the workspace.
func (l *Limiter) fetch(zone, id, addr string, req beryltokenrequest.Request) {
	timeout := remoteTimeout
	if zone == l.zone {
		timeout = localTimeout
	}
	reply, err := l.requestTokens(addr, req, timeout)
	repeated := errors.Is(err, context.DeadlineExceeded)
	if repeated {
		// The connection may have gone silent. After a time-out the client uses
		// another connection to the same address.
		reply, err = l.requestTokens(addr, req, timeout)
	}
	denied := false
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	shard := berylshard.Of(req.Workspace)
	switch {
	case err != nil:
		l.skipCandidate(zone, shard, id)
		l.cache.HandleFailure(now, req.Workspace, zone, req.ID)
	case !reply.Owner || len(reply.Batches) != 1:
		l.owners[zoneShard{zone, shard}] = reply.Holder
		l.cache.HandleFailure(now, req.Workspace, zone, req.ID)
	default:
		l.owners[zoneShard{zone, shard}] = id
		batch := reply.Batches[0]
		// A repeated request gets no tokens if they were granted to the first one.
		denied = !repeated && batch.N < req.TotalTokens()
		l.cache.HandleBatch(now, req.Workspace, zone, beryltokenbatch.Batch{ID: batch.Id, Tokens: batch.N, TTL: time.Duration(batch.Life), FleetDemand: batch.Demand})
	}
	if f := l.awaited[req.Workspace]; f != nil {
		f.denied = denied
		close(f.done)
		delete(l.awaited, req.Workspace)
	}
	l.fetchIfDue(req.Workspace)
}

// skipCandidate sends the next requests for shard to the instance that ranks behind id,
// which did not answer.
func (l *Limiter) skipCandidate(zone string, shard int, id string) {
	ranked := l.snapshot().Ranking(zone).Top(3, shard)
	for i, candidate := range ranked {
		if candidate == id {
			l.owners[zoneShard{zone, shard}] = ranked[(i+1)%len(ranked)]
			return
		}
	}
	delete(l.owners, zoneShard{zone, shard})
}

func (l *Limiter) requestTokens(addr string, req beryltokenrequest.Request, timeout time.Duration) (*berylwire.GrantReply, error) {
	ctx, cancel := context.WithTimeout(l.ctx, timeout)
	defer cancel()
	ask := &berylwire.Ask{Workspace: req.Workspace, Id: req.ID, Want: req.Want[:], Lend: req.Remote, Demand: req.Demand}
	for _, usage := range req.Usage {
		ask.Spent = append(ask.Spent, &berylwire.Spent{Id: usage.BatchID, N: usage.Tokens, Closed: usage.Closed})
	}
	reply, err := l.clients.For(addr).Grant(ctx, &berylwire.GrantRequest{Holder: l.self, Asks: []*berylwire.Ask{ask}})
	if err != nil && ctx.Err() != nil {
		return nil, eris.Wrap(ctx.Err(), "grant")
	}
	return reply, err
}
