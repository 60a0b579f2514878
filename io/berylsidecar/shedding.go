package berylsidecar

import (
	"math"

	"berylspan/core/berylshedding"
	"berylspan/io/berylgossip"
)

// shedding returns the share of arrivals in per cent that the backend server beside rejects, 0
// if that is too little to matter.
func (s *Sidecar) shedding() uint8 {
	share := s.runner.Shedding()
	if share < berylshedding.MinShare {
		return 0
	}
	return uint8(math.Ceil(100 * share))
}

// hearShedding looks at once at what others told when the server of one begins or ceases to
// shed.
func (s *Sidecar) hearShedding(host string, w berylgossip.Heartbeat) {
	sheds := float64(w.Shedding)/100 >= berylshedding.MinShare
	if !sheds && !s.sheds(host) {
		return
	}
	before, _ := s.sheddingServers.Swap(host, sheds)
	if before != sheds {
		s.proxy.UpdatePeers(s.gossip.Peers())
		s.updateShedding()
	}
}

func (s *Sidecar) sheds(host string) bool {
	sheds, _ := s.sheddingServers.Load(host)
	return sheds == true
}

// updateShedding tells the runner how much a service of the fleet sheds, and logs when that
// begins and ends.
func (s *Sidecar) updateShedding() {
	service, share := s.proxy.Shedding()
	s.runner.SetShedding(share)
	s.sheddingMu.Lock()
	defer s.sheddingMu.Unlock()
	if service == s.sheddingService {
		return
	}
	if service != "" {
		s.log.Warn().Str("service", service).Float64("share", share).Msg("service sheds")
	} else {
		s.log.Info().Str("service", s.sheddingService).Msg("service sheds no more")
	}
	s.sheddingService = service
}
