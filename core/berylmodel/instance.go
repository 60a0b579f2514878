package berylmodel

import (
	"strconv"
	"time"

	"berylspan/core/beryladmission"
	"berylspan/core/berylbackoff"
	"berylspan/core/berylinflight"
	"berylspan/core/berylplacement"
	"berylspan/core/berylscene"
	"berylspan/core/beryltracker"
)

// instance is a daemon and the server beside it.
type instance struct {
	m       *model
	id      string
	zone    int
	service string
	slots   int
	up      bool
	life    int // counts restarts

	standing *beryltracker.Tracker

	line     *beryladmission.Controller[*visit]
	inflight *berylinflight.Limiter
	running  int
	fifo     []*visit // without a line
}

// visit is a request at a server.
type visit struct {
	q     *request
	ask   beryladmission.Request
	life  int
	reply func(reply)
	came  time.Time
}

// reply is what an instance answers another.
type reply struct {
	out    outcome
	told   bool          // what follows is set
	bound  bool          // new work of the rule is held back
	waited time.Duration // in line
	after  time.Duration
	busy   int
	limit  int
	hold   float64
}

const mostTries = 5

func (m *model) add(s berylscene.Service, i int) {
	in := &instance{
		m: m, id: s.Name + strconv.Itoa(i), zone: (i + len(m.instances)) % len(m.scene.Zones), service: s.Name, slots: s.Slots,
	}
	in.start()
	m.instances = append(m.instances, in)
	m.services[s.Name] = append(m.services[s.Name], in)
}

// start begins a life without knowledge.
func (in *instance) start() {
	in.up = true
	in.life++
	in.standing = beryltracker.New()
	in.line = beryladmission.New[*visit](in.slots)
	in.inflight = berylinflight.New()
	in.running, in.fifo = 0, nil
}

func (in *instance) stop() {
	in.up = false
	in.life++
}

// attempt sends a request to the best instance not tried yet.
func (in *instance) attempt(q *request, tried map[*instance]bool, after time.Duration, then func(outcome, time.Duration)) {
	m := in.m
	to := in.choose(q, tried)
	if to == nil || len(tried) >= mostTries || m.now().After(q.until) {
		if after == 0 {
			after = berylbackoff.RetryDelay(q.aim.Sub(m.now()), q.until.Sub(m.now()), m.rng.Float64())
		}
		then(refused, max(after, berylbackoff.MinDelay))
		return
	}
	tried[to] = true
	in.standing.Sent(m.now(), to.id)
	life := in.life
	m.after(m.delay(in, to), func() {
		to.arrive(q, func(r reply) {
			m.after(m.delay(to, in), func() {
				if in.life != life {
					then(failed, 0)
					return
				}
				in.heard(q, to, r)
				q.waited += r.waited
				if r.out == refused {
					in.attempt(q, tried, max(after, r.after), then)
					return
				}
				then(r.out, 0)
			})
		})
	})
}

// heard takes what an instance told with its reply.
func (in *instance) heard(q *request, to *instance, r reply) {
	now := in.m.now()
	in.standing.Ended(now, to.id)
	switch {
	case r.told:
		in.standing.LoadReported(now, to.id, q.rule.Name, r.busy, r.limit, r.hold)
		if r.bound {
			in.standing.Throttled(now, to.id, q.rule.Name)
		}
		if r.out == done {
			in.standing.Succeeded(now, to.id)
		}
	default:
		in.standing.Failed(now, to.id)
	}
}

func (in *instance) choose(q *request, tried map[*instance]bool) *instance {
	all := in.m.services[q.rule.Service]
	if !in.m.policy.Place {
		var left []*instance
		for _, o := range all {
			if !tried[o] {
				left = append(left, o)
			}
		}
		if len(left) == 0 {
			return nil
		}
		return left[in.m.rng.IntN(len(left))]
	}
	bound := false
	cs := make([]berylplacement.Candidate, len(all))
	for i, o := range all {
		cs[i] = in.standing.Candidate(in.m.now(), o.id, q.rule.Name, o.slots)
		cs[i].OtherZone = o.zone != in.zone
		cs[i].Excluded = tried[o]
		bound = bound || (cs[i].Throttled && q.root == q)
	}
	if bound {
		berylplacement.ExcludeThrottled(cs)
	}
	i, _ := berylplacement.Choose(cs, berylplacement.Costs{CrossZone: berylplacement.CrossZoneCost}, in.m.rng.Float64)
	if i < 0 {
		return nil
	}
	return all[i]
}
