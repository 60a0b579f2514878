// Package berylloads tracks the load of instances as seen by a daemon that sends them
// calls.
package berylloads

import (
	"sync"
	"time"

	"berylspan/core/berylclass"
	"berylspan/core/beryllevel"
	"berylspan/core/berylload"
)

// Tracker holds the load of instances by their ID. It is safe for concurrent use.
type Tracker struct {
	mu    sync.Mutex
	loads map[string]*berylload.Load
}

const (
	latencySmoothing = 0.2 // weight of a new sample in the moving average
	avoidDuration    = time.Second
	waitTTL          = 500 * time.Millisecond // of the waits that an instance reported
	maxInstances     = 20_000                 // tracked; all are forgotten when there would be more
)

// New returns a tracker without instances.
func New() *Tracker { return &Tracker{loads: map[string]*berylload.Load{}} }

// load returns the load of the instance, which is added if it is new.
func (t *Tracker) load(now time.Time, id string) *berylload.Load {
	load := t.loads[id]
	if load == nil {
		if len(t.loads) >= maxInstances {
			clear(t.loads)
		}
		load = &berylload.Load{Level: beryllevel.AdmitAll, FirstSeen: now}
		t.loads[id] = load
	}
	return load
}

// Get returns a copy of the load of the instance.
func (t *Tracker) Get(now time.Time, id string) berylload.Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	return *t.load(now, id)
}

// Begin records the start of a call to the instance.
func (t *Tracker) Begin(now time.Time, id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.load(now, id).Inflight++
}

// End records the end of a call to the instance. latency is 0 if the call is no sample of
// it. threshold is the admission threshold that the instance reported, 0 if it reported
// none, and expectedWait how long a call of the class would wait there for a slot.
func (t *Tracker) End(now time.Time, id string, latency time.Duration, threshold float64, class berylclass.Class, expectedWait time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	load := t.load(now, id)
	load.Inflight--
	if latency > 0 {
		if load.Latency == 0 {
			load.Latency = latency
		}
		load.Latency += time.Duration(float64(latency-load.Latency) * latencySmoothing)
	}
	if threshold > 0 {
		if now.Sub(load.ReportedAt) > waitTTL {
			load.Wait = [berylclass.Count]time.Duration{}
		}
		load.Level, load.Wait[class], load.ReportedAt = threshold, expectedWait, now
	}
}

// Avoid marks the instance as failing for avoidDuration.
func (t *Tracker) Avoid(now time.Time, id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.load(now, id).AvoidUntil = now.Add(avoidDuration)
}
