package berylmodel

import (
	"time"

	"berylspan/core/berylscene"
)

// Result is what a play came to. Rules, Zones and Spaces split All by class,
// data centre and workspace.
type Result struct {
	Scene   string
	Policy  string
	All     Tally
	Rules   map[string]*Tally
	Zones   map[string]*Tally
	Spaces  []*Tally
	Seconds []Tally // by the second in which requests were sent
	Wasted  float64 // seconds of servers spent on requests that failed
	Used    float64 // seconds of servers spent in all
}

// Tally counts requests, and their worth.
type Tally struct {
	Offered int
	InAim   int
	Late    int
	Refused int
	Again   int // refused once more after a refusal
	Failed  int
	Worth   float64 // that was to be had
	Earned  float64
}

// Part returns the part of the worth that was earned, 1 without any.
func (t Tally) Part() float64 {
	if t.Worth == 0 {
		return 1
	}
	return t.Earned / t.Worth
}

// Worst returns the least part of a set.
func Worst(set map[string]*Tally) (name string, part float64) {
	part = 2
	for n, t := range set {
		if p := t.Part(); t.Offered > 0 && (p < part || (p == part && n < name)) {
			name, part = n, p
		}
	}
	return name, part
}

func newResult(s *berylscene.Scene, policy string) *Result {
	r := &Result{Scene: s.Name, Policy: policy, Rules: map[string]*Tally{}, Zones: map[string]*Tally{}, Seconds: make([]Tally, int(s.Length/time.Second))}
	for _, z := range s.Zones {
		r.Zones[z] = &Tally{}
	}
	for _, rule := range s.Rules {
		if rule.PerSecond > 0 {
			r.Rules[rule.Name] = &Tally{}
		}
	}
	for range s.Spaces {
		r.Spaces = append(r.Spaces, &Tally{})
	}
	return r
}

// tallies returns all that a request counts in.
func (m *model) tallies(q *request) []*Tally {
	r := m.result
	return []*Tally{
		&r.All, r.Rules[q.rule.Name], r.Zones[m.scene.Zones[q.zone]], r.Spaces[q.space],
		&r.Seconds[int(q.at.Sub(begin())/time.Second)],
	}
}

func (m *model) offer(q *request) {
	for _, t := range m.tallies(q) {
		t.Offered++
		t.Worth += q.rule.Worth
	}
}

func (m *model) count(q *request, out outcome) {
	m.result.Used += q.spent
	if out != done {
		m.result.Wasted += q.spent
	}
	for _, t := range m.tallies(q) {
		switch {
		case out == refused:
			t.Refused++
		case out == failed:
			t.Failed++
		case m.now().After(q.aim):
			t.Late++
			t.Earned += q.rule.Late
		default:
			t.InAim++
			t.Earned += q.rule.Worth
		}
	}
}

func (m *model) again(q *request) {
	for _, t := range m.tallies(q) {
		t.Again++
	}
}
