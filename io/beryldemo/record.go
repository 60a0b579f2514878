package beryldemo

import (
	"net/http"
	"sync"
	"time"

	"berylspan/core/berylinvariant"
	"berylspan/core/berylrefusal"
	"berylspan/io/berylheader"
)

// record keeps what callers and backend servers saw.
type record struct {
	guard *berylinvariant.Guard
	shape *shape
	begun time.Time

	mu      sync.Mutex
	ops     []*op
	runs    map[string]int  // runs of non-idempotent calls, by path and idempotency key
	ran     map[string]bool // call ids that reached a backend server's root route
	notRun  map[string]bool // call ids refused as not run
	deep    int
	rates   map[string]*bucket
	reasons map[string]int
	within  map[string]int // tries that the workspace's rate allows
	let     map[string]int // tries not refused for the rate
}

// op is one call of a caller, repeats included.
type op struct {
	w     int
	route *route
	at    time.Duration
	took  time.Duration
	ok    bool
	ended bool
}

// bucket is the reference for what a workspace's rate allows.
type bucket struct {
	rate, burst, level float64
	at                 time.Time
}

func (b *bucket) take(now time.Time) bool {
	b.level = min(b.burst, b.level+now.Sub(b.at).Seconds()*b.rate)
	b.at = now
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

func newRecord(s *shape, g *berylinvariant.Guard, rates map[string]float64) *record {
	r := &record{
		guard: g, shape: s, begun: time.Now(),
		runs: map[string]int{}, ran: map[string]bool{}, notRun: map[string]bool{},
		rates: map[string]*bucket{}, reasons: map[string]int{},
		within: map[string]int{}, let: map[string]int{},
	}
	for name, rate := range rates {
		burst := max(rate, 8)
		r.rates[name] = &bucket{rate: rate, burst: burst, level: burst, at: r.begun}
	}
	return r
}

// saw is told by the backend servers of every call that they begin.
func (r *record) saw(path string, h http.Header) {
	for name, vs := range h {
		for _, v := range vs {
			r.guard.Check(!hasKey(v), berylinvariant.Key, "header %s of %s carries a key", name, path)
		}
	}
	rt := r.shape.route(path)
	if rt == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if rt.Service == r.shape.deep {
		r.deep++
	}
	if rt.Internal {
		return
	}
	r.ran[h.Get(berylheader.Call)] = true
	if key := h.Get(berylheader.Idempotency); key != "" && !rt.Idempotent {
		r.runs[path+key]++
		r.guard.Check(r.runs[path+key] == 1, berylinvariant.Once, "%s ran %d times", path, r.runs[path+key])
	}
}

func hasKey(v string) bool {
	for _, w := range workspaces() {
		if v == keyOf(w.name) || v == "Bearer "+keyOf(w.name) {
			return true
		}
	}
	return false
}

func (r *record) begin(w int, rt *route) *op {
	r.mu.Lock()
	defer r.mu.Unlock()
	o := &op{w: w, route: rt, at: time.Since(r.begun)}
	r.ops = append(r.ops, o)
	return o
}

// try counts a try against what the workspace's rate allows.
func (r *record) try(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.rates[name].take(time.Now()) {
		r.within[name]++
	}
}

// tried takes the end of a try.
func (r *record) tried(name string, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil {
		r.let[name]++
		return
	}
	run, reason, id := refusal(err)
	r.reasons[reason]++
	if reason != berylrefusal.Rate {
		r.let[name]++
	}
	if run == berylrefusal.NotRun && id != "" {
		r.notRun[id] = true
	}
}

// refused is the part of the tries within their workspace's rate that were
// missing among those let through.
func (r *record) refused() float64 {
	within, short := 0, 0
	for name, n := range r.within {
		within += n
		short += max(n-r.let[name], 0)
	}
	if within == 0 {
		return 0
	}
	return float64(short) / float64(within)
}

func (r *record) done(o *op, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o.ok, o.ended = ok, true
	o.took = time.Since(r.begun) - o.at
}

// check compares what callers were told with what backend servers saw.
func (r *record) check() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id := range r.notRun {
		r.guard.Check(!r.ran[id], berylinvariant.Refusal, "call %s was refused as not run but ran", id)
	}
}
