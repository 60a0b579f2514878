// Package beryltracker tracks the load and health of instances as seen by one
// instance that sends requests to them.
//
// An instance can fail although the instance list reports it as ready. Health is
// therefore judged by the outcome of requests (passive health checking), not by
// what an instance reports about itself. An instance that failed is avoided for a
// short time and then tried again.
package beryltracker

import (
	"time"

	"berylspan/core/berylplacement"
	"berylspan/core/berylserverstatus"
)

// Tracker holds the state of instances by the ID of their backend server. It is
// not safe for concurrent use.
type Tracker struct {
	instances map[string]*instanceState
}

type instanceState struct {
	inflight         int // requests sent and not ended
	reportedBusy     int // running or waiting there, from any sender
	inflightAtReport int
	reportedLimit    int
	reportedAt       time.Time
	slowdown         slowdown
	serviceTimes     map[string]float64   // moving averages in seconds, by rule, without the slowdown
	throttledUntil   map[string]time.Time // by rule, until when no new requests of it are sent
	suspectUntil     time.Time
	refusedAt        time.Time
	failures         int                      // in a row, without those while the instance was suspect
	status           berylserverstatus.Status // what the server said in its last answer
	statusOf         int64                    // start of the server that said it
	lastUsed         time.Time
	lastSent         time.Time
}

const (
	baseSuspectTime = 1500 * time.Millisecond // after the first failure; doubles with each further one
	maxSuspectTime  = 6 * time.Second
	reportTTL       = 2 * time.Second       // how long a reported load is used
	smoothing       = 0.3                   // weight of the newest service time in the moving average
	idleAfter       = 10 * time.Second      // without a request sent, after which the measurements of an instance are stale
	throttledFor    = 60 * time.Millisecond // about the time until one of the requests ends that fill the rule's concurrency limit
	evictAfter      = 2 * time.Minute       // without use
)

// New returns a tracker without instances.
func New() *Tracker { return &Tracker{instances: map[string]*instanceState{}} }

func (t *Tracker) get(now time.Time, id string) *instanceState {
	in := t.instances[id]
	if in == nil {
		in = &instanceState{serviceTimes: map[string]float64{}, throttledUntil: map[string]time.Time{}}
		t.instances[id] = in
	}
	in.lastUsed = now
	return in
}

// Sent records that a request was sent to an instance.
func (t *Tracker) Sent(now time.Time, id string) {
	in := t.get(now, id)
	in.inflight++
	in.lastSent = now
}

// Ended records that a request sent to an instance has ended.
func (t *Tracker) Ended(now time.Time, id string) { t.get(now, id).inflight-- }

// LoadReported records the load that an instance reported: the requests that run
// or wait there, its concurrency limit and the mean service time of the rule in
// seconds, 0 when unknown. Slowdown is how long work takes there at this moment relative to
// usual, 0 when unknown. now is when the report was received; a load that was received before
// the known one is ignored.
func (t *Tracker) LoadReported(now time.Time, id, rule string, busy, limit int, serviceTime, slowdown float64) {
	in := t.get(now, id)
	if !now.Before(in.reportedAt) {
		in.reportedBusy, in.reportedLimit, in.reportedAt, in.inflightAtReport = busy, limit, now, in.inflight
		in.slowdown.report(now, slowdown)
	}
	if serviceTime > 0 {
		serviceTime /= in.slowdown.at(now)
		if old := in.serviceTimes[rule]; old > 0 {
			serviceTime = old + smoothing*(serviceTime-old)
		}
		in.serviceTimes[rule] = serviceTime
	}
}

// StatusReported records what a server said about itself in an answer. born is its start.
func (t *Tracker) StatusReported(now time.Time, id string, born int64, status berylserverstatus.Status) {
	in := t.get(now, id)
	in.status, in.statusOf = status, born
}

// Status returns what a server said about itself in its last answer since its start born.
func (t *Tracker) Status(id string, born int64) berylserverstatus.Status {
	if in := t.instances[id]; in != nil && in.statusOf == born {
		return in.status
	}
	return berylserverstatus.Status{}
}

// Throttled records that an instance refused a new request of a rule because it
// limits the concurrency of that rule.
func (t *Tracker) Throttled(now time.Time, id, rule string) {
	t.get(now, id).throttledUntil[rule] = now.Add(throttledFor)
}

// Failed records a request that showed the instance to be unreachable or broken.
func (t *Tracker) Failed(now time.Time, id string) {
	in := t.get(now, id)
	if now.Before(in.suspectUntil) {
		return
	}
	d := baseSuspectTime << min(in.failures, 4)
	in.failures++
	in.suspectUntil = now.Add(min(d, maxSuspectTime))
}

// Refused records a request that the server refused, or a connection that it did. Load pattern:
// servers that go down and up, and answer what they have while they refuse what comes. They look
// empty, so each answer to an earlier request would make them the first choice.
func (t *Tracker) Refused(now time.Time, id string) {
	t.Failed(now, id)
	t.get(now, id).refusedAt = now
}

// Succeeded records that an instance answered a request that was sent at the given time. It says
// nothing of an instance that has refused requests since.
func (t *Tracker) Succeeded(now time.Time, id string, sent time.Time) {
	in := t.get(now, id)
	if sent.Before(in.refusedAt) {
		return
	}
	in.failures = 0
	in.suspectUntil = time.Time{}
}

// Candidate returns the load and health of an instance as input for placement.
// Slots is its concurrency limit according to the instance list.
func (t *Tracker) Candidate(now time.Time, id, rule string, slots int) berylplacement.Candidate {
	in := t.instances[id]
	if in == nil {
		return berylplacement.Candidate{Limit: float64(slots), Age: berylplacement.UnknownAge, Idle: true}
	}
	c := berylplacement.Candidate{
		Limit: float64(slots), Busy: float64(in.inflight), Own: float64(in.inflight), Age: berylplacement.UnknownAge, ServiceTime: in.serviceTimes[rule] * in.slowdown.at(now),
		Suspect: now.Before(in.suspectUntil), Throttled: now.Before(in.throttledUntil[rule]), Idle: in.inflight == 0 && now.Sub(in.lastSent) > idleAfter,
	}
	if age := now.Sub(in.reportedAt); age < reportTTL {
		c.Age = max(age, 0).Seconds()
		c.Busy = max(float64(in.inflight), float64(in.reportedBusy+in.inflight-in.inflightAtReport))
		if in.reportedLimit > 0 {
			c.Limit = float64(in.reportedLimit)
		}
	}
	return c
}

// EvictStale removes instances that have not been used for evictAfter.
func (t *Tracker) EvictStale(now time.Time) {
	for id, in := range t.instances {
		if in.inflight == 0 && now.Sub(in.lastUsed) > evictAfter {
			delete(t.instances, id)
		}
	}
}
