package berylsimulation

import (
	"strconv"
	"time"

	"berylspan/core/beryladmission"
	"berylspan/core/berylbackoff"
	"berylspan/core/berylinflight"
	"berylspan/core/berylplacement"
	"berylspan/core/berylscenario"
	"berylspan/core/beryltracker"
)

// instance is a daemon with its backend server.
type instance struct {
	m          *model
	id         string
	zone       int
	service    string
	slots      int
	up         bool
	generation int // changes on every stop and start

	tracker *beryltracker.Tracker
	chooser berylplacement.Chooser

	admission *beryladmission.Controller[*job]
	inflight  *berylinflight.Limiter
	running   int
	fifoQueue []*job // used without admission control
}

// job is a request that runs or waits at a backend server.
type job struct {
	q          *request
	admission  beryladmission.Request
	generation int
	respond    func(response)
	arrivedAt  time.Time
}

// response is the answer of one instance to another.
type response struct {
	outcome     outcome
	hasLoad     bool          // busy, limit and serviceTime are set
	throttled   bool          // refused by the limit on in-flight requests
	queueWait   time.Duration // in the queue of the backend server
	retryAfter  time.Duration
	busy        int
	limit       int
	serviceTime float64 // mean, in seconds
}

// maxAttempts bounds the backend servers that one request is sent to.
const maxAttempts = 5

func (m *model) addInstance(s berylscenario.Service, i int) {
	in := &instance{
		m: m, id: s.Name + strconv.Itoa(i), zone: (i + len(m.instances)) % len(m.scenario.Zones), service: s.Name, slots: s.Slots,
	}
	in.start()
	m.instances = append(m.instances, in)
	m.services[s.Name] = append(m.services[s.Name], in)
}

// start starts the instance without any state from before.
func (in *instance) start() {
	in.up = true
	in.generation++
	in.tracker = beryltracker.New()
	in.admission = beryladmission.New[*job](in.slots)
	in.inflight = berylinflight.New()
	in.running, in.fifoQueue = 0, nil
}

func (in *instance) stop() {
	in.up = false
	in.generation++
}

// attempt sends a request to the best instance that has not been tried yet, and
// again while it is refused. retryAfter is the longest delay that a refusal has asked
// for so far.
func (in *instance) attempt(q *request, tried map[*instance]bool, retryAfter time.Duration, done func(outcome, time.Duration)) {
	m := in.m
	to := in.choose(q, tried)
	if to == nil || len(tried) >= maxAttempts || m.now().After(q.deadline) {
		done(refused, berylbackoff.DelayUntilRoom(retryAfter, q.target.Sub(m.now()), q.deadline.Sub(m.now()), m.rng.Float64()))
		return
	}
	tried[to] = true
	in.tracker.Sent(m.now(), to.id)
	generation := in.generation
	m.after(m.networkDelay(in, to), func() {
		to.receive(q, func(r response) {
			m.after(m.networkDelay(to, in), func() {
				if in.generation != generation {
					done(failed, 0)
					return
				}
				in.recordResponse(q, to, r)
				q.queueWait += r.queueWait
				if r.outcome == refused {
					in.attempt(q, tried, max(retryAfter, r.retryAfter), done)
					return
				}
				done(r.outcome, 0)
			})
		})
	})
}

// recordResponse updates the tracked load and health of the instance that responded.
func (in *instance) recordResponse(q *request, to *instance, r response) {
	now := in.m.now()
	in.tracker.Ended(now, to.id)
	switch {
	case r.hasLoad:
		in.tracker.LoadReported(now, to.id, q.rule.Name, r.busy, r.limit, r.serviceTime, 0)
		if r.throttled {
			in.tracker.Throttled(now, to.id, q.rule.Name)
		}
		if r.outcome == succeeded {
			in.tracker.Succeeded(now, to.id, now)
		}
	default:
		in.tracker.Failed(now, to.id)
	}
}

// choose returns the instance to send a request to, or nil when none is left.
func (in *instance) choose(q *request, tried map[*instance]bool) *instance {
	all := in.m.services[q.rule.Service]
	if !in.m.policy.PlaceByLoad {
		var untried []*instance
		for _, other := range all {
			if !tried[other] {
				untried = append(untried, other)
			}
		}
		if len(untried) == 0 {
			return nil
		}
		return untried[in.m.rng.IntN(len(untried))]
	}
	throttled := false
	cs := make([]berylplacement.Candidate, len(all))
	for i, other := range all {
		cs[i] = in.tracker.Candidate(in.m.now(), other.id, q.rule.Name, other.slots)
		cs[i].OtherZone = other.zone != in.zone
		cs[i].Excluded = tried[other]
		throttled = throttled || (cs[i].Throttled && q.root == q)
	}
	if throttled {
		berylplacement.ExcludeThrottled(cs)
	}
	i, _ := in.chooser.Choose(cs, berylplacement.Costs{CrossZone: berylplacement.CrossZoneCost}, in.m.rng.Float64)
	if i < 0 {
		return nil
	}
	return all[i]
}
