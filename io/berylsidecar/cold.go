package berylsidecar

import (
	"time"

	"berylspan/core/berylcoldstart"
)

// coldStart returns what the configuration says of the backend server beside while it is cold;
// known is false while there is no configuration.
func (s *Sidecar) coldStart() (start berylcoldstart.ColdStart, known bool) {
	config := s.cache.State().Config
	if config == nil {
		return start, false
	}
	return config.ColdStarts[s.set.Load().Service], true
}

// coldChanged logs that the backend server beside became cold or warm.
func (s *Sidecar) coldChanged(serverID string, coldFor time.Duration, perSecond float64) {
	if coldFor > 0 {
		s.log.Info().Str("server", serverID).Dur("remaining", coldFor).Float64("limit", perSecond).Msg("server cold")
		return
	}
	s.log.Info().Str("server", serverID).Msg("server warm")
}
