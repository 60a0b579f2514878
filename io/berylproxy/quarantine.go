package berylproxy

import (
	"strconv"
	"time"

	"berylspan/core/berylhash"
	"berylspan/core/berylregistration"
)

// checkQuarantine makes the next attempt of a request a trial if servers ended while they ran it.
// It sets st.quarantined if no trial is possible now, or if the request has been at a server.
func (p *Proxy) checkQuarantine(q *request, st *attemptState) {
	suspect, wait := p.CheckSuspect(q.outgoing)
	q.outgoing.Trial = suspect
	if suspect && (wait > 0 || st.arrivals > 0) {
		st.quarantined, st.retryAfter = true, wait
	}
}

// chooseTrial returns the instance at which a trial takes place: the first that can be reached,
// in an order that depends on the request and is the same at all instances, so that the daemon
// there sees to it that there is one trial at a time. The caller holds the lock.
func (p *Proxy) chooseTrial(q *request, st *attemptState, list []berylregistration.Registration) (berylregistration.Registration, bool) {
	now := time.Now()
	key := strconv.FormatUint(q.outgoing.Fingerprint(), 16)
	var chosen berylregistration.Registration
	var best uint64
	found := false
	for _, entry := range list {
		host := entry.Host()
		peer, ok := p.peers[host]
		unreachable := ok && host != p.Host && (peer.Heartbeat.Leaving || p.isSilent(now, peer))
		if st.tried[entry.ID] || unreachable || entry.Leaving || p.tracker.Status(entry.ID, entry.Born).Leaving {
			continue
		}
		if score := berylhash.Score(key, host); !found || score > best {
			chosen, best, found = entry, score, true
		}
	}
	return chosen, found
}
