// Package berylsimulation is a discrete-event simulation of a deployment. It runs the
// decision code of the instances in virtual time, so that policies can be compared
// on the same load.
//
// It models what determines the outcome under overload: concurrency slots, queues at
// backend servers, placement, nested calls, refusals and retries by clients.
// Processor time, bytes and lost answers are not modelled, nor are retries by
// instances after a failure.
package berylsimulation

import (
	"math/rand/v2"
	"time"

	"berylspan/core/berylscenario"
	"berylspan/core/berylscheduler"
)

// Policy selects the decisions that instances take. With AdmissionControl they queue
// or refuse requests by importance and deadline; without it requests queue in order
// of arrival and none is refused. With PlaceByLoad they choose backend servers by
// load, otherwise at random. With LimitInflight they limit the concurrency of
// requests whose nested calls wait in queues.
type Policy struct {
	Name             string
	AdmissionControl bool
	PlaceByLoad      bool
	LimitInflight    bool
}

// Policies returns the policies that can be compared, by name: full is what the
// product does, unbound the same without the limit on in-flight requests, and off
// takes no decisions.
func Policies() map[string]Policy {
	return map[string]Policy{
		"full":    {Name: "full", AdmissionControl: true, PlaceByLoad: true, LimitInflight: true},
		"unbound": {Name: "unbound", AdmissionControl: true, PlaceByLoad: true},
		"off":     {Name: "off"},
	}
}

const (
	clientDelay = 8 * time.Millisecond   // one way
	peerDelay   = 300 * time.Microsecond // one way inside a data centre, including the processing in both instances
	drainTime   = 8 * time.Second        // after the last request was sent
	second      = time.Second
)

// model is the state of one simulation run.
type model struct {
	scenario  *berylscenario.Scenario
	policy    Policy
	rng       *rand.Rand
	scheduler berylscheduler.Scheduler
	instances []*instance
	services  map[string][]*instance
	result    *Result
}

// Run simulates the scenario. The same seed gives the same result.
func Run(scenario berylscenario.Scenario, policy Policy, seed uint64) *Result {
	m := &model{
		scenario: &scenario, policy: policy, rng: rand.New(rand.NewPCG(seed, 1)),
		services: map[string][]*instance{}, result: newResult(&scenario, policy.Name),
	}
	for _, s := range scenario.Services {
		for i := range s.Servers {
			m.addInstance(s, i)
		}
	}
	m.scheduleOutages()
	for i := range scenario.Rules {
		if r := &scenario.Rules[i]; r.RatePerSecond > 0 {
			for z := range scenario.Zones {
				m.scheduleArrivals(r, z)
			}
		}
	}
	m.scheduler.RunUntil(scenario.Duration + drainTime)
	return m.result
}

// epoch is the wall-clock time at which virtual time starts. It is arbitrary, but not
// the zero time, which the decision code treats as unset.
func epoch() time.Time { return time.Unix(1_000, 0) }

func (m *model) now() time.Time { return epoch().Add(m.scheduler.Now()) }

func (m *model) after(d time.Duration, fn func()) { m.scheduler.After(d, fn) }

// scheduleOutages schedules the disturbances that stop and restart instances.
func (m *model) scheduleOutages() {
	for _, d := range m.scenario.Disturbances {
		var affected []*instance
		interval := time.Duration(0)
		switch d.Kind {
		case berylscenario.LostServers:
			affected = m.services[d.Target][:int(d.Magnitude)]
		case berylscenario.FullRestart:
			affected = m.instances
		case berylscenario.RollingRestart:
			affected = m.instances
			interval = d.Duration / time.Duration(len(affected))
		case berylscenario.ZoneOutage:
			for _, in := range m.instances {
				if m.scenario.Zones[in.zone] == d.Target {
					affected = append(affected, in)
				}
			}
		}
		for i, in := range affected {
			downtime := d.Duration
			if interval > 0 {
				downtime = second
			}
			at := d.Start + time.Duration(i)*interval
			m.after(at, in.stop)
			m.after(at+downtime, in.start)
		}
	}
}

func (m *model) networkDelay(from, to *instance) time.Duration {
	switch {
	case from == to:
		return 0
	case from.zone != to.zone:
		return peerDelay + m.scenario.InterZoneDelay
	}
	return peerDelay
}

// randomInterval returns the time to the next arrival of a Poisson process with the
// given rate per second.
func randomInterval(rng *rand.Rand, rate float64) time.Duration {
	return time.Duration(rng.ExpFloat64() / rate * float64(second))
}
