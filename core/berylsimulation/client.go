package berylsimulation

import (
	"time"

	"berylspan/core/berylbackoff"
	"berylspan/core/berylscenario"
)

// request is a request of a client or a nested call. root is the client's request
// that it belongs to, or itself.
type request struct {
	rule          *berylscenario.Rule
	root          *request
	zone          int
	workspace     int
	sentAt        time.Time // first attempt of the client, or start of the nested call
	target        time.Time // an answer after this is late
	deadline      time.Time
	retriesLeft   int           // by the client
	retried       bool          // by the client, after a refusal
	serverSeconds float64       // processing time on servers, nested calls included
	queueWait     time.Duration // of a nested call, in queues
	ended         bool          // the client has an answer or has given up
}

// outcome is how a request or one attempt at it ended.
type outcome int

const (
	succeeded outcome = iota
	refused           // did not run
	failed            // may have run
)

// scheduleArrivals schedules the requests of a rule that the clients of one data
// centre send, as a Poisson process.
func (m *model) scheduleArrivals(r *berylscenario.Rule, zone int) {
	rate := r.RatePerSecond / float64(len(m.scenario.Zones))
	var scheduleNext func()
	scheduleNext = func() {
		now := m.scheduler.Now()
		loadFactor, hotFactor := 1.0, 1.0
		for _, d := range m.scenario.Active(berylscenario.Burst, now) {
			loadFactor *= d.Magnitude
		}
		for _, d := range m.scenario.Active(berylscenario.HotWorkspace, now) {
			hotFactor *= d.Magnitude
		}
		firstWeight := m.scenario.FirstWorkspaceShare * hotFactor
		totalWeight := firstWeight + 1 - m.scenario.FirstWorkspaceShare
		m.after(randomInterval(m.rng, rate*loadFactor*totalWeight), func() {
			if m.scheduler.Now() >= m.scenario.Duration {
				return
			}
			workspace := 0
			if m.rng.Float64()*totalWeight >= firstWeight {
				workspace = 1 + m.rng.IntN(max(m.scenario.Workspaces-1, 1))
			}
			m.startRequest(r, zone, workspace)
			scheduleNext()
		})
	}
	scheduleNext()
}

func (m *model) startRequest(r *berylscenario.Rule, zone, workspace int) {
	q := &request{
		rule: r, zone: zone, workspace: workspace, sentAt: m.now(), target: m.now().Add(r.TargetLatency), deadline: m.now().Add(r.Timeout), retriesLeft: r.Retries,
	}
	q.root = q
	for _, d := range m.scenario.Active(berylscenario.RetryStorm, m.scheduler.Now()) {
		q.retriesLeft += int(d.Magnitude)
	}
	m.countOffered(q)
	m.after(r.Timeout, func() { m.endRequest(q, failed) })
	m.sendRequest(q)
}

// endRequest counts the outcome of a request, once.
func (m *model) endRequest(q *request, out outcome) {
	if q.ended {
		return
	}
	q.ended = true
	m.countOutcome(q, out)
}

// sendRequest sends a request from the client to an instance.
func (m *model) sendRequest(q *request) {
	entry := m.entryInstance(q)
	if entry == nil {
		m.handleAnswer(q, refused, 0)
		return
	}
	m.after(clientDelay, func() {
		if !entry.up {
			m.handleAnswer(q, refused, 0)
			return
		}
		entry.attempt(q, map[*instance]bool{}, 0, func(out outcome, retryAfter time.Duration) {
			m.after(clientDelay, func() { m.handleAnswer(q, out, retryAfter) })
		})
	})
}

// entryInstance returns the instance that the client sends a request to: a random one
// in its own data centre or, when none is up there, in the next one that has any.
func (m *model) entryInstance(q *request) *instance {
	zone := q.zone
	for _, d := range m.scenario.Active(berylscenario.TrafficShift, m.scheduler.Now()) {
		if m.scenario.Zones[zone] == d.Target {
			zone = (zone + 1) % len(m.scenario.Zones)
		}
	}
	for range m.scenario.Zones {
		var available []*instance
		for _, in := range m.instances {
			if in.zone == zone && in.up {
				available = append(available, in)
			}
		}
		if len(available) > 0 {
			return available[m.rng.IntN(len(available))]
		}
		zone = (zone + 1) % len(m.scenario.Zones)
	}
	return nil
}

// handleAnswer handles an answer at the client, which retries a refused request.
func (m *model) handleAnswer(q *request, out outcome, retryAfter time.Duration) {
	if q.ended {
		return
	}
	if out == refused && q.retried {
		m.countRefusedAgain(q)
	}
	if out != refused || q.retriesLeft == 0 {
		m.endRequest(q, out)
		return
	}
	q.retriesLeft--
	q.retried = true
	if !q.rule.HonorsRetryAfter || len(m.scenario.Active(berylscenario.RetryStorm, m.scheduler.Now())) > 0 {
		retryAfter = 0
	}
	if retryAfter == 0 {
		retryAfter = berylbackoff.MinDelay
	}
	if m.now().Add(retryAfter).After(q.deadline) {
		m.endRequest(q, refused)
		return
	}
	m.after(retryAfter, func() { m.sendRequest(q) })
}
