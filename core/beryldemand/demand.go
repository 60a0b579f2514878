// Package beryldemand adds up the call rates of a workspace that several sources
// report.
package beryldemand

import "time"

// Aggregator keeps the latest report of each source, which is a daemon or a data
// centre. It is not safe for concurrent use.
type Aggregator struct {
	reports map[string]report
}

type report struct {
	rate float64
	at   time.Time
}

// ReportTTL is how long a report counts.
const ReportTTL = 2 * time.Second

// New returns an aggregator without reports.
func New() *Aggregator { return &Aggregator{reports: map[string]report{}} }

// Report records the rate, in calls per second, at which calls arrive at source.
func (a *Aggregator) Report(now time.Time, source string, rate float64) {
	a.reports[source] = report{rate: rate, at: now}
}

// Sum returns the calls per second of all sources and drops expired reports.
func (a *Aggregator) Sum(now time.Time) float64 {
	sum := 0.0
	for source, r := range a.reports {
		if now.Sub(r.at) > ReportTTL {
			delete(a.reports, source)
			continue
		}
		sum += r.rate
	}
	return sum
}
