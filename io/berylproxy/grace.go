package berylproxy

import (
	"net/http"
	"time"

	"berylspan/core/berylbackoff"
	"berylspan/io/berylhttpserver"
	"berylspan/io/berylreply"
)

// StopAt records that the instance stops, and when the requests that still run are cancelled. From
// now on, requests that are not expected to end before that are refused.
func (p *Proxy) StopAt(end time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.grace.Stop(end)
}

// checkGrace refuses a request that would be cancelled at the end of a stop, before any instance
// gets it. It returns nil if the request may be taken.
func (p *Proxy) checkGrace(q *request) *berylhttpserver.Answer {
	p.mu.Lock()
	mayTake := p.grace.MayTake(time.Now(), q.rule.Name, q.outgoing.Nested, q.outgoing.Deadline)
	p.mu.Unlock()
	if mayTake {
		return nil
	}
	return p.refuse(q, http.StatusServiceUnavailable, berylreply.ReasonShuttingDown, berylbackoff.MinDelay)
}

// recordDuration records how long a request took. Errors of backend servers say nothing about that.
func (p *Proxy) recordDuration(q *request, status int) {
	if status >= http.StatusInternalServerError && status != http.StatusGatewayTimeout {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.grace.Ended(q.rule.Name, time.Since(q.ReceivedAt))
}
