// Package beryllevel decides which calls a daemon admits while its backend server
// is overloaded.
package beryllevel

import (
	"math"
	"time"

	"berylspan/core/berylclass"
)

// Level is an admission level: calls whose order is above its threshold are
// rejected before they wait or use resources. A lower order means a more important
// call, see berylcall.Order. The threshold is adjusted with a histogram of recent
// orders so that as many calls are admitted as the backend server completes, as in
// DAGOR (Zhou et al., SoCC 2018). Level is not safe for concurrent use.
type Level struct {
	threshold   float64
	histogram   [bins]float64
	windowStart time.Time
	waitSeconds float64 // sum over the window
	waitCount   int
	dropped     int
	targetWait  float64 // seconds
}

const (
	binsPerClass        = 64
	bins                = binsPerClass * berylclass.Count
	window              = 50 * time.Millisecond
	minTargetWait       = 0.020 // seconds; a shorter mean wait is never overload
	targetSlotIntervals = 3     // mean wait that is allowed, in intervals between two slots becoming free
	reductionRate       = 0.05  // fraction of the admitted calls, per window
	growthRate          = 0.03  // fraction of the admitted calls, per window
	histogramDecay      = 0.8   // factor per window
	minThreshold        = 1.0 / binsPerClass
)

// AdmitAll is the threshold that admits every call.
const AdmitAll = float64(berylclass.Count)

// New returns a level that admits every call.
func New() *Level { return &Level{threshold: AdmitAll, targetWait: minTargetWait} }

// SetSlotInterval sets the mean time in seconds between two slots becoming free. A
// wait of a few such intervals is not overload.
func (l *Level) SetSlotInterval(seconds float64) {
	l.targetWait = max(minTargetWait, targetSlotIntervals*seconds)
}

// Threshold returns the highest order that is admitted.
func (l *Level) Threshold() float64 { return l.threshold }

// Admit records a call of the given order and reports whether to admit it.
func (l *Level) Admit(now time.Time, order float64) bool {
	l.advance(now)
	l.histogram[binOf(order)]++
	return order <= l.threshold
}

// RecordWait records how long an admitted call waited for a slot.
func (l *Level) RecordWait(now time.Time, d time.Duration) {
	l.advance(now)
	l.waitSeconds += d.Seconds()
	l.waitCount++
}

// RecordDrop records an admitted call that was dropped from the full queue.
func (l *Level) RecordDrop(now time.Time) {
	l.advance(now)
	l.dropped++
}

func binOf(order float64) int {
	return min(max(int(order*binsPerClass), 0), bins-1)
}

// advance closes the windows that have ended by now.
func (l *Level) advance(now time.Time) {
	if l.windowStart.IsZero() {
		l.windowStart = now
	}
	age := now.Sub(l.windowStart)
	if age < window {
		return
	}
	for range min(int(age/window), 100) {
		l.closeWindow()
	}
	l.windowStart = now
}

// closeWindow adjusts the threshold and starts a new window.
func (l *Level) closeWindow() {
	mean := 0.0
	if l.waitCount > 0 {
		mean = l.waitSeconds / float64(l.waitCount)
	}
	admitted := l.countUpTo(l.threshold)
	if mean > l.targetWait || l.dropped > 0 {
		l.threshold = max(l.thresholdFor(admitted*(1-reductionRate)), minThreshold)
	} else if l.threshold < AdmitAll {
		l.threshold = min(max(l.thresholdFor(admitted*(1+growthRate)+1), l.threshold+minThreshold), AdmitAll)
	}
	l.waitSeconds, l.waitCount, l.dropped = 0, 0, 0
	for i := range l.histogram {
		l.histogram[i] *= histogramDecay
	}
}

// countUpTo returns the number of recent calls whose order is at most threshold.
func (l *Level) countUpTo(threshold float64) float64 {
	sum := 0.0
	for i := range l.histogram {
		upper := float64(i+1) / binsPerClass
		if upper > threshold {
			fraction := (threshold - float64(i)/binsPerClass) * binsPerClass
			return sum + math.Max(fraction, 0)*l.histogram[i]
		}
		sum += l.histogram[i]
	}
	return sum
}

// thresholdFor returns the threshold that admits n of the recent calls.
func (l *Level) thresholdFor(n float64) float64 {
	sum := 0.0
	for i, count := range l.histogram {
		if sum+count >= n {
			fraction := 1.0
			if count > 0 {
				fraction = (n - sum) / count
			}
			return (float64(i) + fraction) / binsPerClass
		}
		sum += count
	}
	return AdmitAll
}
