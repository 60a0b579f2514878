// Package beryldemo runs the main job on embedded stand-ins and measures it.
package beryldemo

import (
	"time"

	"berylspan/core/berylclass"
	"berylspan/core/berylroute"
	"berylspan/io/berylfakebackend"
)

// shape is the form of one deployment. Delay is one way between data centres
// and client one way from callers.
type shape struct {
	name     string
	zones    []string
	delay    time.Duration
	client   time.Duration
	services []service
	routes   []route
	deep     string
}

type service struct {
	name  string
	slots []int
}

// route is a published route, what it costs and its part of the callers' calls.
type route struct {
	berylroute.Route
	work berylfakebackend.Work
	part float64
}

// workspace is a customer. Part is its share of the normal demand.
type workspace struct {
	name string
	part float64
}

func workspaces() []workspace {
	return []workspace{
		{"north", 0.25},
		{"south", 0.20},
		{"east", 0.15},
		{"west", 0.12},
		{"hill", 0.10},
		{"lake", 0.08},
		{"mill", 0.06},
		{"cove", 0.04},
	}
}

const (
	ms     = time.Millisecond
	normal = 0.7 // demand as a part of the capacity
	surge  = 4.0 // factor of the demand
	greedy = 5.0 // factor of its rate that the first workspace sends in a surge
	room   = 1.1 // rate of a plan over the workspace's demand in a surge
	slowBy = 250 // per cent of the time that the deep service takes when slow
)

func unary(path, svc string, class berylclass.Class, idempotent, inner bool, part float64, cost time.Duration, nested ...string) route {
	return route{
		Route: berylroute.Route{Path: path, Service: svc, Class: class, Idempotent: idempotent, Internal: inner, Timeout: 4 * time.Second},
		work:  berylfakebackend.Work{Time: cost, Nested: nested},
		part:  part,
	}
}

// pairRoute is the route by which the added latency is measured.
func pairRoute(svc string) route {
	r := unary(pairPath, svc, berylclass.Standard, true, false, 0, 0)
	r.AuthExempt = true
	return r
}

func stream(path, svc string, part float64, chunks, size int, pace time.Duration) route {
	return route{
		Route: berylroute.Route{Path: path, Service: svc, Class: berylclass.Bulk, Idempotent: true, Streaming: true, Timeout: 4 * time.Second},
		work:  berylfakebackend.Work{Chunks: chunks, Size: size, Pace: pace},
		part:  part,
	}
}

func huella() shape {
	return shape{
		name:   "huella",
		zones:  []string{"mx1", "mx2", "mx3", "mx4"},
		delay:  5 * ms,
		client: 8 * ms,
		services: []service{
			{"catalog", []int{40, 30, 50, 36}},
			{"orders", []int{30, 40, 24, 36}},
			{"scans", []int{30, 40, 24, 36, 30}},
			{"proofs", []int{30, 36, 24, 40}},
		},
		deep: "scans",
		routes: []route{
			unary("/catalog.Catalog/Browse", "catalog", berylclass.Standard, true, false, 0.42, 30*ms, "/scans.Scans/Preview"),
			unary("/proofs.Proofs/Check", "proofs", berylclass.Standard, true, false, 0.37, 20*ms, "/orders.Orders/Details"),
			unary("/orders.Orders/Place", "orders", berylclass.Critical, false, false, 0.06, 30*ms, "/catalog.Catalog/Design"),
			pairRoute("catalog"),
			stream("/scans.Scans/Download", "scans", 0.15, 10, 64<<10, 80*ms),
			unary("/orders.Orders/Details", "orders", berylclass.Standard, true, true, 0, 20*ms, "/scans.Scans/Record"),
			unary("/catalog.Catalog/Design", "catalog", berylclass.Standard, true, true, 0, 20*ms, "/scans.Scans/Record"),
			unary("/scans.Scans/Preview", "scans", berylclass.Standard, true, true, 0, 250*ms),
			unary("/scans.Scans/Record", "scans", berylclass.Standard, true, true, 0, 400*ms),
		},
	}
}

func karri() shape {
	return shape{
		name:   "karri",
		zones:  []string{"wa1", "wa2", "wa3"},
		delay:  3500 * time.Microsecond,
		client: 1 * ms,
		services: []service{
			{"quotes", []int{120, 90, 150}},
			{"bookings", []int{100, 140, 80, 60}},
			{"photos", []int{120, 60, 100}},
			{"roster", []int{60, 80, 70}},
		},
		deep: "roster",
		routes: []route{
			unary("/quotes.Quotes/Get", "quotes", berylclass.Standard, true, false, 0.49, 20*ms, "/bookings.Bookings/Slots"),
			unary("/bookings.Bookings/Book", "bookings", berylclass.Critical, false, false, 0.06, 30*ms, "/roster.Roster/Assign"),
			unary("/roster.Roster/View", "roster", berylclass.Standard, true, false, 0.30, 200*ms),
			pairRoute("quotes"),
			stream("/photos.Photos/Pack", "photos", 0.15, 12, 64<<10, 40*ms),
			unary("/bookings.Bookings/Slots", "bookings", berylclass.Standard, true, true, 0, 20*ms, "/roster.Roster/Crews"),
			unary("/roster.Roster/Crews", "roster", berylclass.Standard, true, true, 0, 300*ms),
			unary("/roster.Roster/Assign", "roster", berylclass.Critical, false, true, 0, 300*ms, "/photos.Photos/Site"),
			unary("/photos.Photos/Site", "photos", berylclass.Standard, true, true, 0, 20*ms),
		},
	}
}

func (s *shape) route(path string) *route {
	for i := range s.routes {
		if s.routes[i].Path == path {
			return &s.routes[i]
		}
	}
	return nil
}

// hold is how long a call of the path holds a slot; slow is the factor of the
// deep service's time.
func (s *shape) hold(path string, slow float64) float64 {
	r := s.route(path)
	own := (r.work.Time + time.Duration(r.work.Chunks)*r.work.Pace).Seconds()
	if r.Service == s.deep {
		own *= slow
	}
	for _, n := range r.work.Nested {
		own += s.hold(n, slow)
	}
	return own
}

// use adds the slot-seconds that one call of the path takes of each service.
func (s *shape) use(path string, part, slow float64, into map[string]float64) {
	r := s.route(path)
	into[r.Service] += part * s.hold(path, slow)
	for _, n := range r.work.Nested {
		s.use(n, part, slow, into)
	}
}

// capacity is the whole requests per second that the slots allow for the
// callers' mix.
func (s *shape) capacity(slow float64) float64 {
	use := map[string]float64{}
	for _, r := range s.routes {
		s.use(r.Path, r.part, slow, use)
	}
	least := 0.0
	for _, svc := range s.services {
		n := 0
		for _, c := range svc.slots {
			n += c
		}
		if c := float64(n) / use[svc.name]; use[svc.name] > 0 && (least == 0 || c < least) {
			least = c
		}
	}
	return least
}

// deepCalls is how many calls of the deep service one call of the path makes.
func (s *shape) deepCalls(path string) int {
	r := s.route(path)
	n := 0
	if r.Service == s.deep {
		n++
	}
	for _, p := range r.work.Nested {
		n += s.deepCalls(p)
	}
	return n
}

// deepUse is the slot-seconds that one call of the path takes of the deep
// service.
func (s *shape) deepUse(path string, slow float64) float64 {
	use := map[string]float64{}
	s.use(path, 1, slow, use)
	return use[s.deep]
}

// deepSlots is the number of slots of the deep service.
func (s *shape) deepSlots() float64 {
	n := 0
	for _, svc := range s.services {
		if svc.name != s.deep {
			continue
		}
		for _, c := range svc.slots {
			n += c
		}
	}
	return float64(n)
}
