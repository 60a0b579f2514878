// Package berylmodel plays a deployment in virtual time with the decisions that
// instances take, so that two policies can be compared on the same load.
//
// It models what decides under overload: slots, lines beside servers, placement,
// calls of running work, refusals and clients that return. Processor time, bytes
// and lost answers are not modelled, nor are repeats by instances after a failure.
package berylmodel

import (
	"math/rand/v2"
	"time"

	"berylspan/core/berylagenda"
	"berylspan/core/berylscene"
)

// Policy says which decisions are taken. Line keeps requests in line beside
// servers, else they queue in order of arrival and none is refused. Place chooses
// servers by load, else at random. Bound holds back requests whose calls wait.
type Policy struct {
	Name  string
	Line  bool
	Place bool
	Bound bool
}

// Policies returns those that can be compared, by name: what the product does,
// the same without the bound, and no decisions at all.
func Policies() map[string]Policy {
	return map[string]Policy{
		"full":    {Name: "full", Line: true, Place: true, Bound: true},
		"unbound": {Name: "unbound", Line: true, Place: true},
		"off":     {Name: "off"},
	}
}

const (
	toClient = 8 * time.Millisecond   // one way
	toPeer   = 300 * time.Microsecond // one way inside a data centre, with the work of two instances
	drain    = 8 * time.Second        // after the last request was sent
	second   = time.Second
)

// model is one play.
type model struct {
	scene     *berylscene.Scene
	policy    Policy
	rng       *rand.Rand
	agenda    berylagenda.Agenda
	instances []*instance
	services  map[string][]*instance
	result    *Result
}

// Play plays the scene. The same seed gives the same result.
func Play(scene berylscene.Scene, policy Policy, seed uint64) *Result {
	m := &model{
		scene: &scene, policy: policy, rng: rand.New(rand.NewPCG(seed, 1)),
		services: map[string][]*instance{}, result: newResult(&scene, policy.Name),
	}
	for _, s := range scene.Services {
		for i := range s.Servers {
			m.add(s, i)
		}
	}
	m.trouble()
	for i := range scene.Rules {
		if r := &scene.Rules[i]; r.PerSecond > 0 {
			for z := range scene.Zones {
				m.arrivals(r, z)
			}
		}
	}
	m.agenda.Run(scene.Length + drain)
	return m.result
}

// begin is an arbitrary time that is not zero, from which decisions count.
func begin() time.Time { return time.Unix(1_000, 0) }

func (m *model) now() time.Time { return begin().Add(m.agenda.Now()) }

func (m *model) after(d time.Duration, do func()) { m.agenda.After(d, do) }

// trouble plans what happens to instances.
func (m *model) trouble() {
	for _, t := range m.scene.Troubles {
		var hit []*instance
		each := time.Duration(0)
		switch t.Kind {
		case berylscene.Lost:
			hit = m.services[t.On][:int(t.X)]
		case berylscene.All:
			hit = m.instances
		case berylscene.Roll:
			hit = m.instances
			each = t.For / time.Duration(len(hit))
		case berylscene.Cut:
			for _, in := range m.instances {
				if m.scene.Zones[in.zone] == t.On {
					hit = append(hit, in)
				}
			}
		}
		for i, in := range hit {
			off := t.For
			if each > 0 {
				off = second
			}
			at := t.At + time.Duration(i)*each
			m.after(at, in.stop)
			m.after(at+off, in.start)
		}
	}
}

func (m *model) delay(from, to *instance) time.Duration {
	switch {
	case from == to:
		return 0
	case from.zone != to.zone:
		return toPeer + m.scene.Between
	}
	return toPeer
}

func exp(rng *rand.Rand, rate float64) time.Duration {
	return time.Duration(rng.ExpFloat64() / rate * float64(second))
}
