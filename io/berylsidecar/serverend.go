package berylsidecar

import "berylspan/io/berylserverend"

// maxLoggedIDs bounds the ids of requests in one log line.
const maxLoggedIDs = 20

// serverEnded handles the unplanned end of the backend server beside.
func (s *Sidecar) serverEnded(end berylserverend.ServerEnd) {
	s.meter.crashes.Inc()
	ids := make([]string, 0, maxLoggedIDs)
	for _, r := range end.Requests[:min(len(end.Requests), maxLoggedIDs)] {
		ids = append(ids, r.ID)
	}
	s.log.Warn().Str("server", end.Lifetime.ID).Int64("born", end.Lifetime.BornMs).Int("requests", len(end.Requests)).Strs("ids", ids).
		Msg("server ended under requests")
	s.crashes.ServerEnded(end)
}

// sendCrashes tells other instances of ends of backend servers: all of them, or those that are
// told of this heartbeat.
func (s *Sidecar) sendCrashes(all bool, message []byte) {
	near, far, _ := s.hosts(all, int(s.turn.Load()))
	s.gossip.SendCrashes(near, message)
	s.gossip.SendCrashes(far, message)
}

func (s *Sidecar) hearCrashes(host string, data []byte) {
	if err := s.crashes.Handle(data); err != nil {
		s.log.Warn().Err(err).Str("peer", host).Msg("quarantine message refused")
	}
}
