package berylsidecar

import (
	"maps"
	"slices"
	"time"

	"berylspan/core/berylhash"
	"berylspan/core/berylramp"
	"berylspan/io/berylgossip"
)

// far is what an instance of a large fleet knows of the other data centres.
type far struct {
	own   string
	zones map[string][]string // hosts by data centre
	zone  map[string]string   // data centre by host
	heard map[string]bool     // data centres that were heard lately
}

// farSilent is how long none of a data centre's instances may be heard: five
// words. A data centre without an answer of the lender uses its own part no
// sooner.
const farSilent = berylramp.SettleTime

func (s *Sidecar) far(peers []berylgossip.Peer) *far {
	f := &far{own: s.set.Load().Zone, zones: map[string][]string{}, zone: map[string]string{}, heard: map[string]bool{}}
	leaving := map[string]bool{}
	for _, p := range peers {
		leaving[p.Host] = p.Heartbeat.Leaving
		if time.Since(p.LastSeen) < farSilent {
			f.heard[p.Heartbeat.Zone] = true
		}
	}
	f.heard[f.own] = true
	for zone := range s.zones() {
		f.zones[zone] = nil
	}
	for _, l := range s.cache.State().ServersByAddr {
		if host := l.Host(); !leaving[host] {
			f.zones[l.Zone] = append(f.zones[l.Zone], host)
			f.zone[host] = l.Zone
		}
	}
	return f
}

// lends returns the data centre that lends a workspace's tokens. All that list
// the same data centres agree on it.
func (f *far) lends(workspace string) string {
	return berylhash.Top(1, workspace, slices.Collect(maps.Keys(f.zones)))[0]
}

// mayLend tells whether an instance is among the first of its data centre to lend
// a workspace's tokens, so that it does once one or two others are gone.
func (f *far) mayLend(host, workspace string) bool {
	const first = 3
	return slices.Contains(berylhash.Top(first, workspace, f.zones[f.zone[host]]), host)
}

// lending returns the instances of the data centre that lends a workspace's
// tokens in the order in which they are asked, none where it is the own one.
func (f *far) lending(workspace string) []string {
	zone := f.lends(workspace)
	if zone == f.own {
		return nil
	}
	hosts := f.zones[zone]
	return berylhash.Top(len(hosts), workspace, hosts)
}

// part returns the part of a workspace's rate that may be lent here. The lending
// data centre keeps back what those use that it cannot hear, the others keep to
// their own part. Demand is by instance of the own data centre and by data centre.
func (f *far) part(workspace string, own map[string]float64, demand map[string]map[string]float64) float64 {
	lends := f.lends(workspace) == f.own
	here, there, unheard := own[workspace], 0.0, 0
	for host, by := range demand {
		_, zone := f.zones[host]
		switch {
		case !zone, lends && f.heard[host]:
			here += by[workspace]
		default:
			there += by[workspace]
			unheard++
		}
	}
	part := 1.0
	if there > 0 {
		part = here / (here + there)
	}
	if lends {
		part = min(part, 1-float64(unheard)/float64(len(f.zones)))
	}
	return part
}
