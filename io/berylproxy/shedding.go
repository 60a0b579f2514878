package berylproxy

import (
	"context"
	"net/http"
	"slices"
	"time"

	"berylspan/core/berylbackoff"
	"berylspan/core/berylshedding"
	"berylspan/io/berylstorecache"
)

// maxRejections is how often backend servers may reject a request before it is refused. Of calls
// to servers that reject 55 % of what arrives, 1 % is rejected as often.
const maxRejections = 8

// sheddingTTL is how long what an instance told of its server counts. Instances of other data
// centres of a large fleet send heartbeats seldom, and all at once when this changes.
const sheddingTTL = 10 * time.Second

// retryWaitShare is the part of the time left, as its reciprocal, that a request may wait for a
// retry. A chain that fails loses all of its calls, so waiting is better.
const retryWaitShare = 8

// excludes reports whether a server is not to be tried for the request.
func (st *attemptState) excludes(id string) bool {
	if st.again {
		return !slices.Contains(st.rejected, id)
	}
	return st.tried[id]
}

// sheds reports whether all servers of a service together reject much of what arrives.
func (p *Proxy) sheds(service string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, ok := p.shedding[service]
	return ok
}

// takeRejectedRetry is takeRetry for a request that a server of a service that sheds has
// rejected. After as many servers as the rule allows, it goes once more to one of those that
// rejected it.
func (p *Proxy) takeRejectedRetry(ctx context.Context, q *request, st *attemptState) bool {
	st.arrivals++
	st.rejected = append(st.rejected, q.serverID)
	if ctx.Err() != nil || len(st.rejected) >= maxRejections || time.Until(q.outgoing.Deadline) < minTimeForRetry {
		return false
	}
	st.again = st.arrivals >= max(q.rule.MaxAttempts, 1) || len(st.tried) >= len(p.State().ServersByService[q.outgoing.Service])
	p.mu.Lock()
	wait, ok := p.retryBudget(q.outgoing.Service).TakeRejected(time.Now(), time.Until(q.outgoing.Deadline)/retryWaitShare)
	p.mu.Unlock()
	if !ok || wait == 0 {
		return ok
	}
	select {
	case <-time.After(wait):
		return true
	case <-ctx.Done():
		return false
	}
}

// failedBelow reports whether a failed request is likely to have failed because of a service
// further down its chain that sheds. To run it again would repeat all of its calls there.
func (p *Proxy) failedBelow(q *request) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, own := p.shedding[q.outgoing.Service]
	return len(p.shedding) > 0 && !own
}

// failingShare is the share of its latest answers that must be errors for a server to count as
// one that fails because of a service that sheds.
const failingShare = 0.5

// recordFailure records whether a server answered with an error, while a service sheds. The
// caller holds the lock.
func (p *Proxy) recordFailure(now time.Time, id string, status int) {
	if len(p.shedding) == 0 {
		return
	}
	m := p.failures[id]
	if m == nil {
		m = &berylshedding.Meter{}
		p.failures[id] = m
	}
	m.Record(now, status >= http.StatusInternalServerError)
}

// failsBelow reports whether most requests that were sent to a server failed while a service
// sheds. The instance beside it may have no retries left; since its requests end soon, it
// would look idle and attract more. The caller holds the lock.
func (p *Proxy) failsBelow(now time.Time, id string) bool {
	m := p.failures[id]
	return m != nil && m.Share(now) > failingShare
}

// updateShedding determines which services shed, from what the instances beside their servers
// tell. The caller holds the lock.
func (p *Proxy) updateShedding(now time.Time, state *berylstorecache.State) {
	p.shedding = nil
	for service, list := range state.ServersByService {
		sum, n := 0, 0
		for _, entry := range list {
			peer, known := p.peers[entry.Host()]
			if !known || entry.Leaving || now.Sub(peer.LastSeen) > sheddingTTL {
				continue
			}
			sum += int(peer.Heartbeat.Shedding)
			n++
		}
		if n == 0 || float64(sum) < berylshedding.MinShare*100*float64(n) {
			continue
		}
		if p.shedding == nil {
			p.shedding = map[string]float64{}
		}
		p.shedding[service] = float64(sum) / 100 / float64(n)
	}
	switch {
	case p.shedding == nil:
		p.failures = nil
	case p.failures == nil:
		p.failures = map[string]*berylshedding.Meter{}
	}
}

// Shedding returns the largest share of arrivals that a service rejects on all its servers, and
// the service. It is 0 while no service sheds.
func (p *Proxy) Shedding() (service string, share float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for s, v := range p.shedding {
		if v > share {
			service, share = s, v
		}
	}
	return service, share
}

// sheddingDelay returns the Retry-After time of a request whose chain cannot succeed while a
// service below sheds.
func sheddingDelay(q *request) time.Duration {
	return berylbackoff.LateDelay(time.Until(q.outgoing.TargetTime), time.Until(q.outgoing.Deadline), random())
}
