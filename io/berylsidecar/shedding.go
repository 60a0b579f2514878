package berylsidecar

// updateShedding tells the runner how much a service of the fleet sheds, and logs when that
// begins and ends.
func (s *Sidecar) updateShedding() {
	service, share := s.enter.Shedding()
	s.beside.SetShedding(share)
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
