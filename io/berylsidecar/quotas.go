package berylsidecar

import (
	"net"
	"time"

	"berylspan/core/berylaccount"
	"berylspan/io/berylgossip"
	"berylspan/io/berylquotas"

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
	if p := s.view.State().Published; p != nil {
		return p.Account(workspace)
	}
	return nil
}

func (s *Sidecar) passQuota(host string, m berylquotas.Message) {
	data, err := cbor.Marshal(m)
	if err != nil {
		s.log.Error().Err(err).Msg("quota message not encoded")
		return
	}
	s.gossip.Pass(host, data)
}

func (s *Sidecar) hearQuota(host string, data []byte) {
	var m berylquotas.Message
	if err := cbor.Unmarshal(data, &m); err != nil {
		s.log.Warn().Err(err).Str("peer", host).Msg("quota message refused")
		return
	}
	s.quotas.Receive(host, m, s.account)
}

// tickQuotas tells the quotas who can be heard and what others are asked for.
func (s *Sidecar) tickQuotas(peers []berylgossip.Peer) {
	p := s.view.State().Published
	if p == nil {
		return
	}
	heard, silent := map[string]float64{}, map[string]float64{}
	hosts := map[string]bool{}
	for addr := range s.view.State().Hosts {
		if host, _, err := net.SplitHostPort(addr); err == nil {
			hosts[host] = true
		}
	}
	delete(hosts, s.set.Load().Host)
	unknown := len(hosts)
	for _, peer := range peers {
		to := heard
		switch {
		case hosts[peer.Host]:
			unknown--
		case time.Since(peer.Heard) > unlistedFor:
			continue
		}
		if time.Since(peer.Heard) > aliveWithin {
			to = silent
		}
		for workspace, n := range peer.Word.Demand {
			to[workspace] += float64(n) / demandUnit
		}
	}
	alive, fleet := s.enter.Fleet()
	s.quotas.Tick(alive, fleet, unknown, heard, silent, s.account, p.Workspaces())
}

// unlistedFor is how long a silent instance counts that the list no longer
// holds.
const unlistedFor = 5 * time.Second
