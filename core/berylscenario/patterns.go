package berylscenario

import (
	"slices"
	"time"
)

const ms = time.Millisecond

// chain is an online shop whose requests make many nested calls, one after another,
// most of them to a small service at the end of the call chains.
func chain() Scenario {
	return Scenario{
		Name: "chain", Zones: []string{"a", "b", "c", "d"}, InterZoneDelay: 5 * ms, Duration: 30 * time.Second, Workspaces: 8, FirstWorkspaceShare: 0.3,
		Services: []Service{{"store", 5, 57}, {"orders", 4, 71}, {"scans", 4, 71}, {"proofs", 4, 19}},
		Rules: []Rule{
			{Name: "browse", Service: "store", RatePerSecond: 131, ProcessingTime: 120 * ms, TargetLatency: 1500 * ms, Timeout: 5 * time.Second, Value: 1, LateValue: 0.3, Retries: 1, HonorsRetryAfter: true, Calls: []Call{{"order", 2}, {"scan", 2}, {"proof", 8}}},
			{Name: "buy", Service: "orders", RatePerSecond: 47, ProcessingTime: 160 * ms, TargetLatency: 1500 * ms, Timeout: 5 * time.Second, Value: 3, LateValue: 0.6, Importance: 1, Retries: 1, HonorsRetryAfter: true, Calls: []Call{{"scan", 1}, {"proof", 4}}},
			{Name: "download", Service: "scans", RatePerSecond: 21, ProcessingTime: 96 * ms, TargetLatency: 400 * ms, Timeout: 1500 * ms, Value: 1, LateValue: 0.3, Retries: 1, HonorsRetryAfter: true},
			{Name: "track", Service: "proofs", RatePerSecond: 25, ProcessingTime: 480 * ms, TargetLatency: 1200 * ms, Timeout: 5 * time.Second, Value: 1, LateValue: 0.3, Retries: 1, HonorsRetryAfter: true},
			{Name: "order", Service: "orders", ProcessingTime: 15 * ms, TargetLatency: time.Second, Timeout: 2500 * ms},
			{Name: "scan", Service: "scans", ProcessingTime: 15 * ms, TargetLatency: 800 * ms, Timeout: 2 * time.Second},
			{Name: "proof", Service: "proofs", ProcessingTime: 30 * ms, TargetLatency: 300 * ms, Timeout: 700 * ms},
		},
	}
}

// fan is a service mesh in which large services make many calls to one small service.
func fan() Scenario {
	return Scenario{
		Name: "fan", Zones: []string{"a", "b", "c"}, InterZoneDelay: 3500 * time.Microsecond, Duration: 30 * time.Second, Workspaces: 8, FirstWorkspaceShare: 0.3,
		Services: []Service{{"quotes", 4, 299}, {"bookings", 3, 398}, {"photos", 3, 398}, {"roster", 3, 58}},
		Rules: []Rule{
			{Name: "quote", Service: "quotes", RatePerSecond: 574, ProcessingTime: 60 * ms, TargetLatency: 1500 * ms, Timeout: 6 * time.Second, Value: 1, LateValue: 0.3, Retries: 1, HonorsRetryAfter: true, Calls: []Call{{"status", 2}, {"avail", 8}}},
			{Name: "book", Service: "bookings", RatePerSecond: 172, ProcessingTime: 78 * ms, TargetLatency: 1500 * ms, Timeout: 6 * time.Second, Value: 3, LateValue: 0.6, Importance: 1, Retries: 1, HonorsRetryAfter: true, Calls: []Call{{"index", 1}, {"avail", 4}}},
			{Name: "pack", Service: "photos", RatePerSecond: 69, ProcessingTime: 48 * ms, TargetLatency: 300 * ms, Timeout: time.Second, Value: 1, LateValue: 0.3, Retries: 1, HonorsRetryAfter: true},
			{Name: "roster", Service: "roster", RatePerSecond: 84, ProcessingTime: 240 * ms, TargetLatency: 600 * ms, Timeout: 2500 * ms, Value: 1, LateValue: 0.3, Retries: 1, HonorsRetryAfter: true},
			{Name: "status", Service: "bookings", ProcessingTime: 15 * ms, TargetLatency: 1200 * ms, Timeout: 3 * time.Second},
			{Name: "index", Service: "photos", ProcessingTime: 15 * ms, TargetLatency: 1200 * ms, Timeout: 2500 * ms},
			{Name: "avail", Service: "roster", ProcessingTime: 15 * ms, TargetLatency: 300 * ms, Timeout: 700 * ms},
		},
	}
}

// ladder is the service mesh of fan with nested calls that make nested calls
// themselves.
func ladder() Scenario {
	s := fan()
	s.Name = "ladder"
	s.Rule("quote").Calls = []Call{{"status", 2}, {"avail", 2}}
	s.Rule("book").Calls = []Call{{"index", 1}, {"avail", 1}}
	s.Rule("status").Calls = []Call{{"index", 1}}
	s.Rule("index").Calls = []Call{{"avail", 3}}
	return s
}

// Patterns returns the load patterns that the product has to cope with, each on three
// deployments. A scenario is named after its deployment and its pattern, as in
// chain/calm.
func Patterns() []Scenario {
	var out []Scenario
	for _, base := range []func() Scenario{chain, fan, ladder} {
		deepest := base().Services[3].Name
		for name, disturbances := range map[string][]Disturbance{
			"calm":      nil,
			"burst":     {{Kind: Burst, Start: 10 * time.Second, Duration: 15 * time.Second, Magnitude: 3}},
			"storm":     {{Kind: Burst, Start: 10 * time.Second, Duration: 10 * time.Second, Magnitude: 3}, {Kind: RetryStorm, Start: 10 * time.Second, Duration: 20 * time.Second, Magnitude: 3}},
			"deep-slow": {{Kind: SlowService, Start: 10 * time.Second, Duration: 15 * time.Second, Target: deepest, Magnitude: 3}},
			"deep-lost": {{Kind: Burst, Start: 10 * time.Second, Duration: 20 * time.Second, Magnitude: 2}, {Kind: LostServers, Start: 10 * time.Second, Duration: 20 * time.Second, Target: deepest, Magnitude: 2}},
			"hot":       {{Kind: HotWorkspace, Start: 10 * time.Second, Duration: 15 * time.Second, Magnitude: 8}},
			"shift":     {{Kind: Burst, Start: 5 * time.Second, Duration: 25 * time.Second, Magnitude: 1.3}, {Kind: TrafficShift, Start: 10 * time.Second, Duration: 15 * time.Second, Target: "b"}},
			"roll":      {{Kind: Burst, Start: 5 * time.Second, Duration: 30 * time.Second, Magnitude: 1.3}, {Kind: RollingRestart, Start: 10 * time.Second, Duration: 20 * time.Second}},
			"cut":       {{Kind: Burst, Start: 5 * time.Second, Duration: 30 * time.Second, Magnitude: 1.3}, {Kind: ZoneOutage, Start: 10 * time.Second, Duration: 15 * time.Second, Target: "a"}},
			"reborn":    {{Kind: Burst, Start: 5 * time.Second, Duration: 30 * time.Second, Magnitude: 2.2}, {Kind: FullRestart, Start: 15 * time.Second, Duration: 1500 * time.Millisecond}},
			"restart":   {{Kind: Burst, Start: 5 * time.Second, Duration: 30 * time.Second, Magnitude: 1.3}, {Kind: FullRestart, Start: 12 * time.Second, Duration: 2 * time.Second}},
		} {
			s := base()
			s.Name += "/" + name
			s.Disturbances = disturbances
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b Scenario) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return out
}
