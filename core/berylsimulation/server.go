package berylsimulation

import (
	"time"

	"berylspan/core/beryladmission"
	"berylspan/core/berylscenario"
)

// failedCallPenalty is added to the queue wait that is recorded for a nested call that
// was refused or failed.
const failedCallPenalty = 100 * time.Millisecond

// receive handles a request for the instance's own backend server.
func (in *instance) receive(q *request, respond func(response)) {
	m := in.m
	if !in.up {
		respond(response{outcome: refused})
		return
	}
	if q.root == q && m.policy.LimitInflight && !in.inflight.Allow(q.rule.Name) {
		r := response{outcome: refused, throttled: true}
		in.reportLoad(q, &r)
		respond(r)
		return
	}
	j := &job{arrivedAt: m.now(), q: q, generation: in.generation, admission: beryladmission.Request{
		Rank: -q.root.rule.Importance, Nested: q.root != q, Kind: q.rule.Name, TimeToDeadline: q.deadline.Sub(m.now()), TimeToTarget: q.target.Sub(m.now()),
	}}
	j.respond = func(r response) {
		if j.generation == in.generation {
			in.reportLoad(q, &r)
		}
		respond(r)
	}
	if !m.policy.AdmissionControl {
		if in.running < in.slots {
			in.run(j)
			return
		}
		in.fifoQueue = append(in.fifoQueue, j)
		return
	}
	switch decision, wait := in.admission.Arrive(m.now(), j.admission, j); decision {
	case beryladmission.Start:
		in.run(j)
	case beryladmission.Refuse:
		j.respond(response{outcome: refused, retryAfter: wait})
	}
}

// reportLoad adds the load of the backend server to a response.
func (in *instance) reportLoad(q *request, r *response) {
	running, waiting, limit := in.admission.State()
	r.hasLoad = true
	r.busy, r.limit, r.serviceTime = running+waiting, limit, in.admission.MeanServiceTime(q.rule.Name).Seconds()
}

// run processes a request. Its nested calls are made one after another, evenly spaced
// over the processing time.
func (in *instance) run(j *job) {
	m := in.m
	in.running++
	startedAt := m.now()
	var nestedCalls []*berylscenario.Rule
	for _, c := range j.q.rule.Calls {
		for range c.Count {
			nestedCalls = append(nestedCalls, m.scenario.Rule(c.Rule))
		}
	}
	isRoot := j.q.root == j.q
	if isRoot {
		in.inflight.Begin(m.now(), j.q.rule.Name, j.q.rule.Importance, j.q.target.Sub(m.now()))
	}
	queueWait := m.now().Sub(j.arrivedAt)
	segment := j.q.rule.ProcessingTime / time.Duration(len(nestedCalls)+1)
	end := func(out outcome) {
		if j.generation == in.generation {
			in.release(j, m.now().Sub(startedAt))
			if isRoot {
				in.inflight.End(m.now(), j.q.rule.Name, out != succeeded || m.now().After(j.q.target))
			}
		}
		j.respond(response{outcome: out, queueWait: queueWait})
	}
	var step func(n int)
	step = func(n int) {
		d := in.sampleDuration(segment)
		j.q.root.serverSeconds += d.Seconds()
		m.after(d, func() {
			switch {
			case j.generation != in.generation, j.q.root.ended, m.now().After(j.q.deadline):
				end(failed)
			case n == len(nestedCalls):
				end(succeeded)
			default:
				in.callNested(j, nestedCalls[n], func(out outcome) {
					if out != succeeded {
						end(failed)
						return
					}
					step(n + 1)
				})
			}
		})
	}
	step(0)
}

// sampleDuration returns how long processing takes now: 80 to 120 % of the mean at
// random, longer while the service is slowed down.
func (in *instance) sampleDuration(mean time.Duration) time.Duration {
	factor := 0.8 + 0.4*in.m.rng.Float64()
	for _, d := range in.m.scenario.Active(berylscenario.SlowService, in.m.scheduler.Now()) {
		if d.Target == in.service {
			factor *= d.Magnitude
		}
	}
	return time.Duration(float64(mean) * factor)
}

// callNested makes a nested call.
func (in *instance) callNested(j *job, rule *berylscenario.Rule, done func(outcome)) {
	q := j.q
	m := in.m
	c := &request{rule: rule, root: q.root, zone: in.zone, sentAt: m.now(), target: m.now().Add(rule.TargetLatency), deadline: m.now().Add(rule.Timeout)}
	if c.deadline.After(q.deadline) {
		c.deadline = q.deadline
	}
	in.attempt(c, map[*instance]bool{}, 0, func(out outcome, _ time.Duration) {
		if j.generation == in.generation {
			if out != succeeded {
				c.queueWait = m.now().Sub(c.sentAt) + failedCallPenalty
			}
			in.inflight.RecordCall(m.now().Sub(c.sentAt), c.queueWait)
		}
		done(out)
	})
}

// release frees the slot of a job and starts the jobs that waited for it.
func (in *instance) release(j *job, took time.Duration) {
	m := in.m
	in.running--
	if !m.policy.AdmissionControl {
		if len(in.fifoQueue) > 0 {
			next := in.fifoQueue[0]
			in.fifoQueue = in.fifoQueue[1:]
			in.run(next)
		}
		return
	}
	in.admission.Done(j.admission, took, true)
	for {
		next, expired, ok := in.admission.Next(m.now())
		switch {
		case !ok:
			return
		case expired:
			next.respond(response{outcome: refused})
		default:
			in.run(next)
		}
	}
}
