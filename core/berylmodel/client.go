package berylmodel

import (
	"time"

	"berylspan/core/berylbackoff"
	"berylspan/core/berylscene"
)

// request is one request of a client, or a nested call; root is the former.
type request struct {
	rule   *berylscene.Rule
	root   *request
	zone   int
	space  int
	at     time.Time // when the client sent it first
	aim    time.Time
	until  time.Time
	tries  int // left to the client
	back   bool
	spent  float64       // seconds of servers
	waited time.Duration // in line, of a call
	over   bool          // the client has an answer, or has left
}

// outcome is how a send ended.
type outcome int

const (
	done    outcome = iota
	refused         // has not run
	failed          // may have run
)

// arrivals plans the requests of a rule from one data centre.
func (m *model) arrivals(r *berylscene.Rule, zone int) {
	per := r.PerSecond / float64(len(m.scene.Zones))
	var next func()
	next = func() {
		at := m.agenda.Now()
		factor, hot := 1.0, 1.0
		for _, t := range m.scene.During(berylscene.Burst, at) {
			factor *= t.X
		}
		for _, t := range m.scene.During(berylscene.Hot, at) {
			hot *= t.X
		}
		first := m.scene.Skew * hot
		all := first + 1 - m.scene.Skew
		m.after(exp(m.rng, per*factor*all), func() {
			if m.agenda.Now() >= m.scene.Length {
				return
			}
			space := 0
			if m.rng.Float64()*all >= first {
				space = 1 + m.rng.IntN(max(m.scene.Spaces-1, 1))
			}
			m.arrive(r, zone, space)
			next()
		})
	}
	next()
}

func (m *model) arrive(r *berylscene.Rule, zone, space int) {
	q := &request{
		rule: r, zone: zone, space: space, at: m.now(), aim: m.now().Add(r.Aim), until: m.now().Add(r.Limit), tries: r.Tries,
	}
	q.root = q
	for _, t := range m.scene.During(berylscene.Storm, m.agenda.Now()) {
		q.tries += int(t.X)
	}
	m.offer(q)
	m.after(r.Limit, func() { m.end(q, failed) })
	m.send(q)
}

// end counts what a request came to, once.
func (m *model) end(q *request, out outcome) {
	if q.over {
		return
	}
	q.over = true
	m.count(q, out)
}

// send brings a request to an instance.
func (m *model) send(q *request) {
	at := m.face(q)
	if at == nil {
		m.back(q, refused, 0)
		return
	}
	m.after(toClient, func() {
		if !at.up {
			m.back(q, refused, 0)
			return
		}
		at.attempt(q, map[*instance]bool{}, 0, func(out outcome, after time.Duration) {
			m.after(toClient, func() { m.back(q, out, after) })
		})
	})
}

// face returns the instance that the client speaks to: one of its own data
// centre, or of the next one in which any is left.
func (m *model) face(q *request) *instance {
	zone := q.zone
	for _, t := range m.scene.During(berylscene.Shift, m.agenda.Now()) {
		if m.scene.Zones[zone] == t.On {
			zone = (zone + 1) % len(m.scene.Zones)
		}
	}
	for range m.scene.Zones {
		var there []*instance
		for _, in := range m.instances {
			if in.zone == zone && in.up {
				there = append(there, in)
			}
		}
		if len(there) > 0 {
			return there[m.rng.IntN(len(there))]
		}
		zone = (zone + 1) % len(m.scene.Zones)
	}
	return nil
}

// back is where a client gets an answer.
func (m *model) back(q *request, out outcome, after time.Duration) {
	if q.over {
		return
	}
	if out == refused && q.back {
		m.again(q)
	}
	if out != refused || q.tries == 0 {
		m.end(q, out)
		return
	}
	q.tries--
	q.back = true
	if !q.rule.Obeys || len(m.scene.During(berylscene.Storm, m.agenda.Now())) > 0 {
		after = 0
	}
	if after == 0 {
		after = berylbackoff.MinDelay
	}
	if m.now().Add(after).After(q.until) {
		m.end(q, refused)
		return
	}
	m.after(after, func() { m.send(q) })
}
