// Package berylthrottle decides when events that may come in any number are logged.
package berylthrottle

import "time"

// Throttle counts events by kind, for one log line of each kind in an interval. It is not safe
// for concurrent use.
type Throttle struct {
	interval time.Duration
	kinds    map[string]*state
}

type state struct {
	count  int // since the last line
	lineAt time.Time
}

// New returns a throttle without events. The number of kinds should be small.
func New(interval time.Duration) *Throttle {
	return &Throttle{interval: interval, kinds: map[string]*state{}}
}

// Add counts an event and returns how many a line is to tell of now, 0 for no line.
func (t *Throttle) Add(kind string, now time.Time) int {
	s := t.kinds[kind]
	if s == nil {
		s = &state{}
		t.kinds[kind] = s
	}
	s.count++
	if now.Sub(s.lineAt) < t.interval {
		return 0
	}
	n := s.count
	s.count, s.lineAt = 0, now
	return n
}
