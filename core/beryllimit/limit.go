// Package beryllimit adapts the concurrency limit of one backend server.
package beryllimit

import "time"

// Limit tracks the number of calls that a backend server can run at once without
// queueing. Like TCP Vegas, it estimates from the latency above the base latency
// how many calls queue inside the server, and keeps that number small. When
// lowering the limit does not lower the latency, the server has become slower
// rather than overloaded, and the former limit is restored. A limit that has been
// fully used for a long time is probed by lowering it as well, because a server
// that always queued has never shown its base latency. Limit is not safe for
// concurrent use.
type Limit struct {
	limit            float64
	minLimit         float64
	maxLimit         float64
	baseSeconds      float64 // estimated server time of a call that does not queue
	windowStart      time.Time
	serverSeconds    float64 // sum over the window
	slotSeconds      float64 // sum over the window
	completed        int
	rejected         int
	peakInflight     int
	reference        reference
	lastProbe        time.Time
	probeWindowsLeft int // until the probe is evaluated
}

// reference is the limit and the mean server time before a series of reductions or
// a probe.
type reference struct {
	set           bool
	limit         float64
	serverSeconds float64
}

const (
	minWindow            = 100 * time.Millisecond
	maxWindow            = 2 * time.Second
	minSamples           = 8
	growThreshold        = 0.10 // queued fraction of the limit up to which it grows
	shrinkThreshold      = 0.20 // queued fraction of the limit from which it shrinks
	maxReduction         = 0.15 // fraction of the limit, per window
	rejectionFactor      = 0.9  // on the limit, per window in which the server rejected a call
	growthRate           = 0.05 // fraction of the limit, per window
	evaluateAtFraction   = 0.7  // of the reference limit, at which the effect of the reductions is evaluated
	minImprovementFactor = 0.85 // the server time must fall to this multiple or less for a reduction to count as effective
	baseDriftRate        = 0.02 // of the base towards the mean server time, per window
	minUtilization       = 0.9  // fraction of the limit that must be in use for it to grow
	probeFactor          = 0.6  // on the limit, during a probe
	probeInterval        = 10 * time.Second
	probeWindows         = 2 // calls that began before the probe end in the first window
)

// Initial sets the initial limit.
func Initial(n int) func(*Limit) { return func(l *Limit) { l.limit = float64(n) } }

// New returns a limit that starts at 20, unless an option sets another initial
// limit, and stays between 2 and 1000.
func New(opts ...func(*Limit)) *Limit {
	l := &Limit{limit: 20, minLimit: 2, maxLimit: 1000}
	for _, o := range opts {
		o(l)
	}
	return l
}

// Current returns the number of calls that may run at once.
func (l *Limit) Current() int { return int(l.limit) }

// Record records the end of a call that held a slot for slotTime. serverTime is the
// part of slotTime in which the server itself processed or queued the call. inflight
// is the number of calls that ran, including this one. rejected says that the server
// rejected the call.
func (l *Limit) Record(now time.Time, serverTime, slotTime time.Duration, inflight int, rejected bool) {
	if l.windowStart.IsZero() {
		l.windowStart = now
	}
	l.peakInflight = max(l.peakInflight, inflight)
	if rejected {
		l.rejected++
	} else {
		l.serverSeconds += serverTime.Seconds()
		l.slotSeconds += slotTime.Seconds()
		l.completed++
	}
	if l.windowComplete(now) {
		l.close(now)
	}
}

// windowComplete reports whether the window is long enough to show the effect of
// the current limit, that is, whether calls that began before the window have
// ended.
func (l *Limit) windowComplete(now time.Time) bool {
	age := now.Sub(l.windowStart)
	if age >= maxWindow {
		return true
	}
	if l.completed < minSamples && l.rejected == 0 {
		return false
	}
	mean := 0.0
	if l.completed > 0 {
		mean = l.slotSeconds / float64(l.completed)
	}
	return age >= max(minWindow, time.Duration(mean*float64(time.Second)))
}

// close adapts the limit and starts a new window.
func (l *Limit) close(now time.Time) {
	if l.completed > 0 {
		l.adapt(now, l.serverSeconds/float64(l.completed), l.slotSeconds/float64(l.completed))
	}
	if l.rejected > 0 {
		l.limit *= rejectionFactor
	}
	l.limit = min(max(l.limit, l.minLimit), l.maxLimit)
	l.windowStart, l.serverSeconds, l.slotSeconds, l.completed, l.rejected, l.peakInflight = now, 0, 0, 0, 0, 0
}

// adapt updates the limit from the means of the window, in seconds.
func (l *Limit) adapt(now time.Time, serverMean, slotMean float64) {
	if l.probeWindowsLeft > 0 {
		l.evaluateProbe(now, serverMean)
		return
	}
	if l.baseSeconds == 0 || serverMean < l.baseSeconds {
		l.baseSeconds = serverMean
	}
	l.baseSeconds += (serverMean - l.baseSeconds) * baseDriftRate
	queued := 0.0
	if slotMean > 0 {
		queued = (serverMean - l.baseSeconds) / slotMean
	}
	switch {
	case queued >= shrinkThreshold:
		l.shrink(serverMean, queued)
	case queued <= growThreshold:
		l.reference.set = false
		if float64(l.peakInflight) >= l.limit*minUtilization {
			l.growOrProbe(now, serverMean)
		}
	}
}

// growOrProbe raises a limit that is fully used, or starts a probe when one is due.
func (l *Limit) growOrProbe(now time.Time, serverMean float64) {
	if l.lastProbe.IsZero() {
		l.lastProbe = now
	}
	if now.Sub(l.lastProbe) < probeInterval {
		l.limit += max(1, l.limit*growthRate)
		return
	}
	l.reference = reference{limit: l.limit, serverSeconds: serverMean}
	l.limit *= probeFactor
	l.probeWindowsLeft = probeWindows
}

// evaluateProbe ends a probe. If the server time did not fall, the limit was right
// and is restored. If it fell, the limit was too high; the lower one stays and is
// probed again at once.
func (l *Limit) evaluateProbe(now time.Time, serverMean float64) {
	l.probeWindowsLeft--
	if l.probeWindowsLeft > 0 {
		return
	}
	l.baseSeconds = min(l.baseSeconds, serverMean)
	if serverMean > l.reference.serverSeconds*minImprovementFactor {
		l.limit = l.reference.limit
		l.lastProbe = now
	}
}

// shrink lowers the limit. After enough reductions it evaluates their effect and
// restores the limit, with a new base, if the server time did not fall.
func (l *Limit) shrink(serverMean, queued float64) {
	if !l.reference.set {
		l.reference = reference{set: true, limit: l.limit, serverSeconds: serverMean}
	}
	if l.limit > l.reference.limit*evaluateAtFraction {
		l.limit *= 1 - min(queued-growThreshold, maxReduction)
		return
	}
	if serverMean > l.reference.serverSeconds*minImprovementFactor {
		l.baseSeconds = serverMean
		l.limit = l.reference.limit
	}
	l.reference.set = false
}
