// Package berylload describes how busy an instance looks to a daemon that
// sends it calls.
package berylload

import (
	"time"

	"berylspan/core/berylclass"
)

// Load is one daemon's view of one instance. Level and Wait are what the instance
// reported last, at ReportedAt.
type Load struct {
	Inflight   int                             // calls sent by this daemon and not ended
	Latency    time.Duration                   // moving average, 0 when unknown
	Level      float64                         // admission level: calls of a higher order are refused
	Wait       [berylclass.Count]time.Duration // how long a call of each class would wait
	ReportedAt time.Time
	FirstSeen  time.Time // by this daemon
	AvoidUntil time.Time // after a failure
}
