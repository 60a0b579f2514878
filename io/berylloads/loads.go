// Package berylloads keeps what a daemon sees of the instances that it sends
// calls to.
package berylloads

import (
	"sync"
	"time"

	"berylspan/core/berylclass"
	"berylspan/core/beryllevel"
	"berylspan/core/berylload"
)

// Loads is safe for concurrent use.
type Loads struct {
	mu sync.Mutex
	by map[string]*berylload.Load
}

const (
	smooth   = 0.2 // weight of a new latency
	avoidFor = time.Second
	waitLife = 500 * time.Millisecond
	mostIDs  = 20_000
)

// New returns loads without instances.
func New() *Loads { return &Loads{by: map[string]*berylload.Load{}} }

func (l *Loads) get(now time.Time, id string) *berylload.Load {
	ld := l.by[id]
	if ld == nil {
		if len(l.by) >= mostIDs {
			clear(l.by)
		}
		ld = &berylload.Load{Level: beryllevel.AdmitAll, FirstSeen: now}
		l.by[id] = ld
	}
	return ld
}

// Get returns a copy of what is known of id.
func (l *Loads) Get(now time.Time, id string) berylload.Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	return *l.get(now, id)
}

// Begin records a call sent to id.
func (l *Loads) Begin(now time.Time, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.get(now, id).Inflight++
}

// End records the end of a call sent to id; took is 0 when it does not tell of
// the latency. Cut is the admission level told, 0 when none was, and wait how
// long a call of the class would wait.
func (l *Loads) End(now time.Time, id string, took time.Duration, cut float64, class berylclass.Class, wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	ld := l.get(now, id)
	ld.Inflight--
	if took > 0 {
		if ld.Latency == 0 {
			ld.Latency = took
		}
		ld.Latency += time.Duration(float64(took-ld.Latency) * smooth)
	}
	if cut > 0 {
		if now.Sub(ld.ReportedAt) > waitLife {
			ld.Wait = [berylclass.Count]time.Duration{}
		}
		ld.Level, ld.Wait[class], ld.ReportedAt = cut, wait, now
	}
}

// Avoid marks id as failing for a while.
func (l *Loads) Avoid(now time.Time, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.get(now, id).AvoidUntil = now.Add(avoidFor)
}
