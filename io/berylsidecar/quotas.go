package berylsidecar

import (
	"maps"
	"time"

	"berylspan/core/berylfullmesh"

	"berylspan/core/berylaccount"
	"berylspan/io/berylgossip"
	"berylspan/io/berylproxy"
	"berylspan/io/berylratelimiter"

	"github.com/fxamacker/cbor/v2"
)

const demandUnit = 10 // a word's demand is in tenths of a request per second

// demand returns what this instance is asked for, as a word says it.
func (s *Sidecar) demand() map[string]uint32 {
	out := map[string]uint32{}
	for workspace, d := range s.quotas.Demand() {
		if n := uint32(d * demandUnit); n > 0 {
			out[workspace] = n
		}
	}
	return out
}

func (s *Sidecar) account(workspace string) *berylaccount.Account {
	if p := s.cache.State().Config; p != nil {
		return p.AccountByWorkspace(workspace)
	}
	return nil
}

func (s *Sidecar) passQuota(host string, m berylratelimiter.Message) {
	data, err := cbor.Marshal(m)
	if err != nil {
		s.log.Error().Err(err).Msg("quota message not encoded")
		return
	}
	s.gossip.SendData(host, data)
}

func (s *Sidecar) hearQuota(host string, data []byte) {
	var m berylratelimiter.Message
	if err := cbor.Unmarshal(data, &m); err != nil {
		s.log.Warn().Err(err).Str("peer", host).Msg("quota message refused")
		return
	}
	s.quotas.HandleMessage(host, m, s.account)
}

// sums returns what the own data centre is asked for, without workspaces that
// are far from their rates.
func (s *Sidecar) sums() map[string]uint32 {
	out := s.demand()
	zone := s.set.Load().Zone
	for _, p := range s.gossip.Peers() {
		if p.Heartbeat.Zone == zone && time.Since(p.LastSeen) < berylproxy.PeerTimeout {
			for workspace, n := range p.Heartbeat.Demand {
				out[workspace] += n
			}
		}
	}
	zones := float64(len(s.zones()))
	for workspace, n := range out {
		if a := s.account(workspace); a == nil || a.Rate <= 0 || float64(n)/demandUnit < a.Rate/zones*quiet {
			delete(out, workspace)
		}
	}
	return out
}

const quiet = 0.4 // part of a data centre's even share of a rate up to which its demand is not told

// zones returns the data centres with instances.
func (s *Sidecar) zones() map[string]bool {
	out := map[string]bool{s.set.Load().Zone: true}
	for _, l := range s.cache.State().ServersByAddr {
		out[l.Zone] = true
	}
	return out
}

// tickQuotas tells the quotas who can be heard and what others are asked for. In
// a large fleet each data centre has a lender of its own.
func (s *Sidecar) tickQuotas(peers []berylgossip.Peer) {
	p := s.cache.State().Config
	if p == nil {
		return
	}
	fleet := s.proxy.FleetSize()
	large := fleet > berylfullmesh.MaxSize
	alive, demand, silent := s.lending(peers, large)
	own, near := s.quotas.Demand(), sum(demand)
	if large {
		s.addZones(peers, demand)
	}
	s.reserveMu.Lock()
	defer s.reserveMu.Unlock()
	s.reserve.Update(own, demand, silent)
	round := berylratelimiter.FleetState{
		LenderCandidates: alive, FleetSize: fleet, LenderCount: 1, OtherDemand: near,
		ReservedShare: func(workspace string) float64 { return s.reserve.Share(workspace, fleet) },
		Account:       s.account, Workspaces: p.Workspaces(),
	}
	if large {
		zones := len(s.zones())
		far := s.far(peers)
		round.LenderCount, round.OtherDemand, round.LendingZoneHosts = zones, everywhere(own, near, zones), far.lending
		round.ReservedShare = func(workspace string) float64 {
			part := far.part(workspace, own, demand)
			if far.lends(workspace) == far.own {
				part = s.ramp.LimitLending(time.Now(), workspace, part)
			} else {
				part = s.ramp.Limit(time.Now(), workspace, part, 1/float64(zones))
			}
			return 1 - part*(1-s.reserve.Share(workspace, max(fleet/zones, 1)))
		}
	}
	s.quotas.Update(round)
}

// lending returns which instances may lend, what each is asked for, and which are
// silent, of the own data centre in a large fleet and of all in a small one.
func (s *Sidecar) lending(peers []berylgossip.Peer, large bool) (alive []string, demand map[string]map[string]float64, silent map[string]bool) {
	set := s.set.Load()
	demand, silent = map[string]map[string]float64{}, map[string]bool{}
	listed := map[string]bool{}
	for _, l := range s.cache.State().ServersByAddr {
		host := l.Host()
		if host == set.Host {
			continue
		}
		listed[host] = true
		if !large || l.Zone == set.Zone {
			silent[host] = true // Until it was heard.
		}
	}
	alive = []string{set.Host}
	for _, peer := range peers {
		age := time.Since(peer.LastSeen)
		if (large && peer.Heartbeat.Zone != set.Zone) || (!listed[peer.Host] && age > unlistedFor) {
			continue
		}
		demand[peer.Host] = scale(peer.Heartbeat.Demand)
		if silent[peer.Host] = age >= berylproxy.PeerTimeout; silent[peer.Host] {
			continue
		}
		delete(silent, peer.Host)
		if !peer.Heartbeat.Leaving {
			alive = append(alive, peer.Host)
		}
	}
	return alive, demand, silent
}

// everywhere returns what all other instances of a large fleet are asked for as
// far as the own data centre shows it: each other one counts with as much, so that
// the parts of all together are no more than a rate. Near is that of the other
// instances of the own one.
func everywhere(own, near map[string]float64, zones int) map[string]float64 {
	out := maps.Clone(near)
	for workspace, d := range own {
		out[workspace] = float64(zones)*(near[workspace]+d) - d
	}
	return out
}

func scale(words map[string]uint32) map[string]float64 {
	out := make(map[string]float64, len(words))
	for workspace, n := range words {
		out[workspace] = float64(n) / demandUnit
	}
	return out
}

func sum(demand map[string]map[string]float64) map[string]float64 {
	out := map[string]float64{}
	for _, by := range demand {
		for workspace, d := range by {
			out[workspace] += d
		}
	}
	return out
}

// addZones adds the demand of the other data centres under their names, as each
// told it last.
func (s *Sidecar) addZones(peers []berylgossip.Peer, demand map[string]map[string]float64) {
	last := map[string]berylgossip.Peer{}
	own := s.set.Load().Zone
	for _, p := range peers {
		if zone := p.Heartbeat.Zone; zone != own && p.LastSeen.After(last[zone].LastSeen) {
			last[zone] = p
		}
	}
	zones := s.zones()
	pub := s.cache.State().Config
	for zone := range zones {
		if zone == own {
			continue
		}
		demand[zone] = scale(last[zone].Heartbeat.ZoneDemand)
		for _, workspace := range pub.Workspaces() {
			if _, told := demand[zone][workspace]; told {
				continue
			}
			if a := pub.AccountByWorkspace(workspace); a != nil {
				demand[zone][workspace] = a.Rate / float64(len(zones)) * quiet
			}
		}
	}
}

// unlistedFor is how long a silent instance counts that the list no longer
// holds.
const unlistedFor = 5 * time.Second
