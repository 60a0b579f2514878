package berylscene

import (
	"slices"
	"time"
)

const ms = time.Millisecond

// chain is a shop: long chains of calls, one after the other, into a small deep
// service.
func chain() Scene {
	return Scene{
		Name: "chain", Zones: []string{"a", "b", "c", "d"}, Between: 5 * ms, Length: 30 * time.Second, Spaces: 8, Skew: 0.3,
		Services: []Service{{"store", 5, 57}, {"orders", 4, 71}, {"scans", 4, 71}, {"proofs", 4, 19}},
		Rules: []Rule{
			{Name: "browse", Service: "store", PerSecond: 131, Work: 120 * ms, Aim: 1500 * ms, Limit: 5 * time.Second, Worth: 1, Late: 0.3, Tries: 1, Obeys: true, Calls: []Call{{"order", 2}, {"scan", 2}, {"proof", 8}}},
			{Name: "buy", Service: "orders", PerSecond: 47, Work: 160 * ms, Aim: 1500 * ms, Limit: 5 * time.Second, Worth: 3, Late: 0.6, Step: 1, Tries: 1, Obeys: true, Calls: []Call{{"scan", 1}, {"proof", 4}}},
			{Name: "download", Service: "scans", PerSecond: 21, Work: 96 * ms, Aim: 400 * ms, Limit: 1500 * ms, Worth: 1, Late: 0.3, Tries: 1, Obeys: true},
			{Name: "track", Service: "proofs", PerSecond: 25, Work: 480 * ms, Aim: 1200 * ms, Limit: 5 * time.Second, Worth: 1, Late: 0.3, Tries: 1, Obeys: true},
			{Name: "order", Service: "orders", Work: 15 * ms, Aim: time.Second, Limit: 2500 * ms},
			{Name: "scan", Service: "scans", Work: 15 * ms, Aim: 800 * ms, Limit: 2 * time.Second},
			{Name: "proof", Service: "proofs", Work: 30 * ms, Aim: 300 * ms, Limit: 700 * ms},
		},
	}
}

// fan is a mesh: wide services and one small one that all lead to.
func fan() Scene {
	return Scene{
		Name: "fan", Zones: []string{"a", "b", "c"}, Between: 3500 * time.Microsecond, Length: 30 * time.Second, Spaces: 8, Skew: 0.3,
		Services: []Service{{"quotes", 4, 299}, {"bookings", 3, 398}, {"photos", 3, 398}, {"roster", 3, 58}},
		Rules: []Rule{
			{Name: "quote", Service: "quotes", PerSecond: 574, Work: 60 * ms, Aim: 1500 * ms, Limit: 6 * time.Second, Worth: 1, Late: 0.3, Tries: 1, Obeys: true, Calls: []Call{{"status", 2}, {"avail", 8}}},
			{Name: "book", Service: "bookings", PerSecond: 172, Work: 78 * ms, Aim: 1500 * ms, Limit: 6 * time.Second, Worth: 3, Late: 0.6, Step: 1, Tries: 1, Obeys: true, Calls: []Call{{"index", 1}, {"avail", 4}}},
			{Name: "pack", Service: "photos", PerSecond: 69, Work: 48 * ms, Aim: 300 * ms, Limit: time.Second, Worth: 1, Late: 0.3, Tries: 1, Obeys: true},
			{Name: "roster", Service: "roster", PerSecond: 84, Work: 240 * ms, Aim: 600 * ms, Limit: 2500 * ms, Worth: 1, Late: 0.3, Tries: 1, Obeys: true},
			{Name: "status", Service: "bookings", Work: 15 * ms, Aim: 1200 * ms, Limit: 3 * time.Second},
			{Name: "index", Service: "photos", Work: 15 * ms, Aim: 1200 * ms, Limit: 2500 * ms},
			{Name: "avail", Service: "roster", Work: 15 * ms, Aim: 300 * ms, Limit: 700 * ms},
		},
	}
}

// ladder is the mesh with calls that make calls themselves.
func ladder() Scene {
	s := fan()
	s.Name = "ladder"
	s.Rule("quote").Calls = []Call{{"status", 2}, {"avail", 2}}
	s.Rule("book").Calls = []Call{{"index", 1}, {"avail", 1}}
	s.Rule("status").Calls = []Call{{"index", 1}}
	s.Rule("index").Calls = []Call{{"avail", 3}}
	return s
}

// Patterns returns the loads that the product answers, on three deployments each.
func Patterns() []Scene {
	var out []Scene
	for _, base := range []func() Scene{chain, fan, ladder} {
		deep := base().Services[3].Name
		for name, troubles := range map[string][]Trouble{
			"calm":      nil,
			"burst":     {{Kind: Burst, At: 10 * time.Second, For: 15 * time.Second, X: 3}},
			"storm":     {{Kind: Burst, At: 10 * time.Second, For: 10 * time.Second, X: 3}, {Kind: Storm, At: 10 * time.Second, For: 20 * time.Second, X: 3}},
			"deep-slow": {{Kind: Slow, At: 10 * time.Second, For: 15 * time.Second, On: deep, X: 3}},
			"deep-lost": {{Kind: Burst, At: 10 * time.Second, For: 20 * time.Second, X: 2}, {Kind: Lost, At: 10 * time.Second, For: 20 * time.Second, On: deep, X: 2}},
			"hot":       {{Kind: Hot, At: 10 * time.Second, For: 15 * time.Second, X: 8}},
			"shift":     {{Kind: Burst, At: 5 * time.Second, For: 25 * time.Second, X: 1.3}, {Kind: Shift, At: 10 * time.Second, For: 15 * time.Second, On: "b"}},
			"roll":      {{Kind: Burst, At: 5 * time.Second, For: 30 * time.Second, X: 1.3}, {Kind: Roll, At: 10 * time.Second, For: 20 * time.Second}},
			"cut":       {{Kind: Burst, At: 5 * time.Second, For: 30 * time.Second, X: 1.3}, {Kind: Cut, At: 10 * time.Second, For: 15 * time.Second, On: "a"}},
			"reborn":    {{Kind: Burst, At: 5 * time.Second, For: 30 * time.Second, X: 2.2}, {Kind: All, At: 15 * time.Second, For: 1500 * time.Millisecond}},
			"restart":   {{Kind: Burst, At: 5 * time.Second, For: 30 * time.Second, X: 1.3}, {Kind: All, At: 12 * time.Second, For: 2 * time.Second}},
		} {
			s := base()
			s.Name += "/" + name
			s.Troubles = troubles
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b Scene) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return out
}
