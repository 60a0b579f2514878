package berylsidecar

import "berylspan/io/berylserverend"

// maxLoggedIDs bounds the ids of requests in one log line.
const maxLoggedIDs = 20

// serverEnded logs the unplanned end of the backend server beside.
func (s *Sidecar) serverEnded(end berylserverend.ServerEnd) {
	s.meter.crashes.Inc()
	ids := make([]string, 0, maxLoggedIDs)
	for _, r := range end.Requests[:min(len(end.Requests), maxLoggedIDs)] {
		ids = append(ids, r.ID)
	}
	s.log.Warn().Str("server", end.Lifetime.ID).Int64("born", end.Lifetime.BornMs).Int("requests", len(end.Requests)).Strs("ids", ids).
		Msg("server ended under requests")
}
