// Package berylslowstart decides how fast requests come back to a data centre whose evacuation
// was taken back.
//
// Load pattern: the servers of a whole data centre are idle and may be cold. Each instance sees
// that they would answer soonest, so that all send them everything at the same moment, before the
// first answer tells of their load.
package berylslowstart

import (
	"time"

	"berylspan/core/berylevacuation"
)

// SlowStart holds the data centres that have returned a short time ago. It is not safe for
// concurrent use.
type SlowStart struct {
	evacuated berylevacuation.Zones
	returned  map[string]time.Time // when their evacuation was taken back
}

const (
	// Duration is how long after its return a data centre gets only a share of the requests. A
	// few heartbeats and answers tell of its load in that time.
	Duration     = 2 * time.Second
	initialShare = 0.1 // of the requests that may be sent there right after the return
)

// New returns a slow start without data centres.
func New() *SlowStart { return &SlowStart{returned: map[string]time.Time{}} }

// Update sets the data centres that are evacuated now. Those that no longer are have returned.
func (s *SlowStart) Update(now time.Time, evacuated berylevacuation.Zones) {
	for zone := range s.evacuated {
		if !evacuated.Contains(zone) {
			s.returned[zone] = now
		}
	}
	s.evacuated = evacuated
	for zone, at := range s.returned {
		if now.Sub(at) >= Duration {
			delete(s.returned, zone)
		}
	}
}

// Active reports whether any data centre gets only a share of the requests.
func (s *SlowStart) Active() bool { return len(s.returned) > 0 }

// Share returns the share, 0 to 1, of the requests that may be sent to a data centre.
func (s *SlowStart) Share(now time.Time, zone string) float64 {
	at, ok := s.returned[zone]
	if !ok {
		return 1
	}
	return min(1, initialShare+(1-initialShare)*now.Sub(at).Seconds()/Duration.Seconds())
}
