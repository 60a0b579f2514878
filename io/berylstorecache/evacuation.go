package berylstorecache

import "berylspan/core/berylevacuation"

// evacuatedAfterRead returns the data centres that are evacuated after a read of the store.
func evacuatedAfterRead(old *State, result *ReadResult) berylevacuation.Zones {
	if result.Full {
		return old.Evacuated.Replace(result.Era, result.Evacuations)
	}
	return old.Evacuated.Apply(result.Era, result.Evacuations)
}

// evacuatedInSnapshot returns the data centres that are evacuated according to a snapshot that is
// newer than the current state.
func evacuatedInSnapshot(old *State, snapshot *Snapshot) berylevacuation.Zones {
	switch {
	case snapshot.Evacuated == nil:
		return old.Evacuated
	case snapshot.Era > old.Era:
		return old.Evacuated.Merge(snapshot.Era, *snapshot.Evacuated)
	}
	return *snapshot.Evacuated
}

// logEvacuations logs which evacuations begin and end for this instance. servers is the number
// of listed servers in the data centre; 0 may mean that its name is misspelt.
func (c *StoreCache) logEvacuations(old, s *State) {
	for _, zone := range s.Evacuated.Names() {
		if !old.Evacuated.Contains(zone) {
			c.log.Info().Str("zone", zone).Int("servers", s.serversIn(zone)).Int64("revision", s.Revision).Int64("era", s.Era).Msg("evacuation in force")
		}
	}
	for _, zone := range old.Evacuated.Names() {
		if !s.Evacuated.Contains(zone) {
			c.log.Info().Str("zone", zone).Int("servers", s.serversIn(zone)).Int64("revision", s.Revision).Int64("era", s.Era).Msg("evacuation taken back")
		}
	}
}

func (s *State) serversIn(zone string) int {
	n := 0
	for _, server := range s.Servers {
		if server.Zone == zone {
			n++
		}
	}
	return n
}
