package berylsimulation

import (
	"time"

	"berylspan/core/berylscenario"
)

// Result is the outcome of a simulation run. ByRule, ByZone and ByWorkspace break All
// down by rule, data centre and workspace.
type Result struct {
	Scenario      string
	Policy        string
	All           Tally
	ByRule        map[string]*Tally
	ByZone        map[string]*Tally
	ByWorkspace   []*Tally
	BySecond      []Tally // by the second in which requests were sent
	WastedSeconds float64 // processing time on servers for requests that were refused or failed
	ServerSeconds float64 // processing time on servers for all requests
}

// Tally counts requests and sums up their value.
type Tally struct {
	Offered      int
	OnTime       int
	Late         int
	Refused      int
	RefusedAgain int // times that a retry of a refused request was refused
	Failed       int
	OfferedValue float64 // if every request were answered on time
	EarnedValue  float64
}

// EarnedFraction returns the fraction of the offered value that was earned, or 1 if
// none was offered.
func (t Tally) EarnedFraction() float64 {
	if t.OfferedValue == 0 {
		return 1
	}
	return t.EarnedValue / t.OfferedValue
}

// Worst returns the name and the earned fraction of the tally with the lowest
// fraction. Tallies without requests do not count.
func Worst(set map[string]*Tally) (name string, fraction float64) {
	fraction = 2
	for n, t := range set {
		if p := t.EarnedFraction(); t.Offered > 0 && (p < fraction || (p == fraction && n < name)) {
			name, fraction = n, p
		}
	}
	return name, fraction
}

func newResult(s *berylscenario.Scenario, policy string) *Result {
	r := &Result{Scenario: s.Name, Policy: policy, ByRule: map[string]*Tally{}, ByZone: map[string]*Tally{}, BySecond: make([]Tally, int(s.Duration/time.Second))}
	for _, z := range s.Zones {
		r.ByZone[z] = &Tally{}
	}
	for _, rule := range s.Rules {
		if rule.RatePerSecond > 0 {
			r.ByRule[rule.Name] = &Tally{}
		}
	}
	for range s.Workspaces {
		r.ByWorkspace = append(r.ByWorkspace, &Tally{})
	}
	return r
}

// tallies returns the tallies that a request counts in.
func (m *model) tallies(q *request) []*Tally {
	r := m.result
	return []*Tally{
		&r.All, r.ByRule[q.rule.Name], r.ByZone[m.scenario.Zones[q.zone]], r.ByWorkspace[q.workspace],
		&r.BySecond[int(q.sentAt.Sub(epoch())/time.Second)],
	}
}

func (m *model) countOffered(q *request) {
	for _, t := range m.tallies(q) {
		t.Offered++
		t.OfferedValue += q.rule.Value
	}
}

func (m *model) countOutcome(q *request, out outcome) {
	m.result.ServerSeconds += q.serverSeconds
	if out != succeeded {
		m.result.WastedSeconds += q.serverSeconds
	}
	for _, t := range m.tallies(q) {
		switch {
		case out == refused:
			t.Refused++
		case out == failed:
			t.Failed++
		case m.now().After(q.target):
			t.Late++
			t.EarnedValue += q.rule.LateValue
		default:
			t.OnTime++
			t.EarnedValue += q.rule.Value
		}
	}
}

func (m *model) countRefusedAgain(q *request) {
	for _, t := range m.tallies(q) {
		t.RefusedAgain++
	}
}
