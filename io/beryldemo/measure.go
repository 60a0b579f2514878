package beryldemo

import (
	"math"
	"slices"
	"time"

	"berylspan/core/berylclass"
)

// Latencies are milliseconds.
type latencies struct {
	P50 float64 `json:"p50"`
	P99 float64 `json:"p99"`
}

// span is a part of the run, from its begin.
type span struct{ from, to time.Duration }

func (s span) holds(at time.Duration) bool { return at >= s.from && at < s.to }

// goodput is the whole requests per second that ended within the span.
func (r *record) goodput(s span) float64 {
	n := 0
	for _, o := range r.ops {
		if o.ok && s.holds(o.at+o.took) {
			n++
		}
	}
	return float64(n) / (s.to - s.from).Seconds()
}

// success is the part of the calls begun within the span that match and got a
// whole answer; 1 when there were none.
func (r *record) success(s span, match func(*op) bool) float64 {
	n, ok := 0, 0
	for _, o := range r.ops {
		if !s.holds(o.at) || !match(o) {
			continue
		}
		n++
		if o.ok {
			ok++
		}
	}
	if n == 0 {
		return 1
	}
	return float64(ok) / float64(n)
}

// worst is the least part that a workspace got of its share, with its name and
// the parts of all. The share is what it sent within its rate and, class by
// class, its max-min part of what the more important classes left of the deep
// service's slots. Calls that do not use that service have no part in it.
func (r *record) worst(s span, slow float64, rates map[string]float64) (string, float64, []float64) {
	n := len(workspaces())
	left := r.shape.deepSlots() * (s.to - s.from).Seconds()
	room := make([]float64, n) // calls within the rate
	weight := make([]float64, n)
	share := make([]float64, n)
	got := make([]float64, n)
	for w, ws := range workspaces() {
		weight[w] = rates[ws.name]
		room[w] = rates[ws.name] * (s.to - s.from).Seconds()
	}
	for class := berylclass.Critical; class < berylclass.Count; class++ {
		demand := make([]float64, n) // slot-seconds
		for _, o := range r.ops {
			cost := r.shape.deepUse(o.route.Path, slow)
			if o.route.Class != class || !s.holds(o.at) || cost == 0 {
				continue
			}
			if room[o.w] >= 1 {
				room[o.w]--
				demand[o.w] += cost
			}
			if o.ok {
				got[o.w] += cost
			}
		}
		for w, part := range waterFill(left, demand, weight) {
			share[w] += part
			left -= part
		}
	}
	return least(got, share)
}

func least(got, share []float64) (string, float64, []float64) {
	name, lowest := "", math.Inf(1)
	parts := make([]float64, len(share))
	for w, ws := range workspaces() {
		if share[w] <= 0 {
			continue
		}
		parts[w] = got[w] / share[w]
		if parts[w] < lowest {
			name, lowest = ws.name, parts[w]
		}
	}
	return name, min(lowest, 1), parts
}

// waterFill divides capacity by weight, nobody getting more than demanded.
func waterFill(capacity float64, demand, weight []float64) []float64 {
	out := make([]float64, len(demand))
	left := capacity
	open := map[int]bool{}
	for i := range demand {
		open[i] = true
	}
	for len(open) > 0 && left > 1e-9 {
		sum := 0.0
		for i := range open {
			sum += weight[i]
		}
		level := left / sum
		filled := false
		for i := range open {
			if demand[i] <= level*weight[i] {
				out[i] = demand[i]
				left -= demand[i]
				delete(open, i)
				filled = true
			}
		}
		if !filled {
			for i := range open {
				out[i] = level * weight[i]
			}
			return out
		}
	}
	return out
}

const (
	recoverStep = 250 * time.Millisecond
	recoverPart = 0.95
	recoverRun  = 2 // steps in a row that must be good
)

// recovery is the time after the fault's end until callers' calls succeed
// again as they should, the rest of the run when they do not.
func (r *record) recovery(end, last time.Duration) time.Duration {
	good := 0
	for at := end; at+recoverStep <= last; at += recoverStep {
		if r.success(span{at, at + recoverStep}, func(*op) bool { return true }) < recoverPart {
			good = 0
			continue
		}
		good++
		if good == recoverRun {
			return at - end - (recoverRun-1)*recoverStep
		}
	}
	return last - end
}

// amplification is the calls that the deep service got per call that callers'
// calls need.
func (r *record) amplification() float64 {
	need := 0
	for _, o := range r.ops {
		need += r.shape.deepCalls(o.route.Path)
	}
	if need == 0 {
		return 0
	}
	return float64(r.deep) / float64(need)
}

// added is the difference of the latency distributions with and without
// daemons.
func added(direct, through []time.Duration) latencies {
	return latencies{
		P50: millis(percentile(through, 0.50) - percentile(direct, 0.50)),
		P99: millis(percentile(through, 0.99) - percentile(direct, 0.99)),
	}
}

func percentile(ds []time.Duration, p float64) time.Duration {
	if len(ds) == 0 {
		return 0
	}
	s := slices.Clone(ds)
	slices.Sort(s)
	return s[int(p*float64(len(s)-1))]
}

func millis(d time.Duration) float64 {
	return math.Round(float64(d.Microseconds())) / 1000
}
