package berylmodel

import (
	"time"

	"berylspan/core/beryladmission"
	"berylspan/core/berylscene"
)

// lostWait is added to the wait of a call that was turned away.
const lostWait = 100 * time.Millisecond

// arrive takes a request to the server beside.
func (in *instance) arrive(q *request, answer func(reply)) {
	m := in.m
	if !in.up {
		answer(reply{out: refused})
		return
	}
	if q.root == q && m.policy.Bound && !in.inflight.Allow(q.rule.Name) {
		r := reply{out: refused, bound: true}
		in.tell(q, &r)
		answer(r)
		return
	}
	v := &visit{came: m.now(), q: q, life: in.life, ask: beryladmission.Request{
		Rank: -q.root.rule.Step, Nested: q.root != q, Kind: q.rule.Name, TimeToDeadline: q.until.Sub(m.now()), TimeToTarget: q.aim.Sub(m.now()),
	}}
	v.reply = func(r reply) {
		if v.life == in.life {
			in.tell(q, &r)
		}
		answer(r)
	}
	if !m.policy.Line {
		if in.running < in.slots {
			in.run(v)
			return
		}
		in.fifo = append(in.fifo, v)
		return
	}
	switch verdict, wait := in.line.Arrive(m.now(), v.ask, v); verdict {
	case beryladmission.Start:
		in.run(v)
	case beryladmission.Refuse:
		v.reply(reply{out: refused, after: wait})
	}
}

// tell adds the state of the server to a reply.
func (in *instance) tell(q *request, r *reply) {
	running, waiting, limit := in.line.State()
	r.told = true
	r.busy, r.limit, r.hold = running+waiting, limit, in.line.MeanServiceTime(q.rule.Name).Seconds()
}

// run works on a request and makes its calls, evenly spaced, one after another.
func (in *instance) run(v *visit) {
	m := in.m
	in.running++
	began := m.now()
	var calls []*berylscene.Rule
	for _, c := range v.q.rule.Calls {
		for range c.N {
			calls = append(calls, m.scene.Rule(c.Rule))
		}
	}
	root := v.q.root == v.q
	if root {
		in.inflight.Begin(m.now(), v.q.rule.Name, v.q.rule.Step, v.q.aim.Sub(m.now()))
	}
	waited := m.now().Sub(v.came)
	piece := v.q.rule.Work / time.Duration(len(calls)+1)
	finish := func(out outcome) {
		if v.life == in.life {
			in.finish(v, m.now().Sub(began))
			if root {
				in.inflight.End(m.now(), v.q.rule.Name, out != done || m.now().After(v.q.aim))
			}
		}
		v.reply(reply{out: out, waited: waited})
	}
	var step func(n int)
	step = func(n int) {
		d := in.takes(piece)
		v.q.root.spent += d.Seconds()
		m.after(d, func() {
			switch {
			case v.life != in.life, v.q.root.over, m.now().After(v.q.until):
				finish(failed)
			case n == len(calls):
				finish(done)
			default:
				in.call(v, calls[n], func(out outcome) {
					if out != done {
						finish(failed)
						return
					}
					step(n + 1)
				})
			}
		})
	}
	step(0)
}

// takes returns how long work lasts now.
func (in *instance) takes(work time.Duration) time.Duration {
	x := 0.8 + 0.4*in.m.rng.Float64()
	for _, t := range in.m.scene.During(berylscene.Slow, in.m.agenda.Now()) {
		if t.On == in.service {
			x *= t.X
		}
	}
	return time.Duration(float64(work) * x)
}

// call makes a nested call.
func (in *instance) call(v *visit, rule *berylscene.Rule, then func(outcome)) {
	q := v.q
	m := in.m
	c := &request{rule: rule, root: q.root, zone: in.zone, at: m.now(), aim: m.now().Add(rule.Aim), until: m.now().Add(rule.Limit)}
	if c.until.After(q.until) {
		c.until = q.until
	}
	in.attempt(c, map[*instance]bool{}, 0, func(out outcome, _ time.Duration) {
		if v.life == in.life {
			if out != done {
				c.waited = m.now().Sub(c.at) + lostWait
			}
			in.inflight.RecordCall(m.now().Sub(c.at), c.waited)
		}
		then(out)
	})
}

// finish frees a slot and starts those that wait for it.
func (in *instance) finish(v *visit, took time.Duration) {
	m := in.m
	in.running--
	if !m.policy.Line {
		if len(in.fifo) > 0 {
			next := in.fifo[0]
			in.fifo = in.fifo[1:]
			in.run(next)
		}
		return
	}
	in.line.Done(v.ask, took, true)
	for {
		next, expired, ok := in.line.Next(m.now())
		switch {
		case !ok:
			return
		case expired:
			next.reply(reply{out: refused})
		default:
			in.run(next)
		}
	}
}
