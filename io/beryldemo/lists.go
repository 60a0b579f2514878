package beryldemo

import (
	"encoding/json"
	"maps"
	"slices"

	"berylspan/core/beryldigest"
)

type zoneEntry struct {
	Name   string  `json:"name"`
	Weight float64 `json:"weight"`
}

type routeEntry struct {
	Path       string `json:"path"`
	Service    string `json:"service"`
	Class      string `json:"class"`
	Idempotent bool   `json:"idempotent"`
	Open       bool   `json:"open"`
	Inner      bool   `json:"inner"`
	Stream     bool   `json:"stream"`
	Timeout    string `json:"timeout"`
}

type planEntry struct {
	Name   string   `json:"name"`
	Rate   float64  `json:"rate"`
	Burst  float64  `json:"burst"`
	Routes []string `json:"routes"`
}

type workspaceEntry struct {
	Name string   `json:"name"`
	Plan string   `json:"plan"`
	Keys []string `json:"keys"`
}

// lists returns the two published lists of the shape. Rates holds the rate of
// each workspace's plan and withdrawn the workspaces without a valid key.
func (s *shape) lists(rates map[string]float64, withdrawn map[string]bool) (ws, plans []byte) {
	doc := struct {
		Zones  []zoneEntry  `json:"zones"`
		Routes []routeEntry `json:"routes"`
		Plans  []planEntry  `json:"plans"`
	}{}
	for _, z := range s.zones {
		doc.Zones = append(doc.Zones, zoneEntry{Name: z, Weight: 1})
	}
	var open []string
	for _, r := range s.routes {
		doc.Routes = append(doc.Routes, routeEntry{
			Path: r.Path, Service: r.Service, Class: r.Class.String(), Idempotent: r.Idempotent,
			Open: r.AuthExempt, Inner: r.Internal, Stream: r.Streaming, Timeout: r.Timeout.String(),
		})
		if !r.Internal && !r.AuthExempt {
			open = append(open, r.Path)
		}
	}
	people := struct {
		Workspaces []workspaceEntry `json:"workspaces"`
	}{}
	for _, name := range slices.Sorted(maps.Keys(rates)) {
		doc.Plans = append(doc.Plans, planEntry{Name: name, Rate: rates[name], Burst: max(rates[name], 8), Routes: open})
		e := workspaceEntry{Name: name, Plan: name, Keys: []string{}}
		if !withdrawn[name] {
			e.Keys = append(e.Keys, beryldigest.Of(keyOf(name)).String())
		}
		people.Workspaces = append(people.Workspaces, e)
	}
	ws, _ = json.Marshal(people)
	plans, _ = json.Marshal(doc)
	return ws, plans
}

func keyOf(workspace string) string { return "key-of-" + workspace + "-for-the-demo" }
