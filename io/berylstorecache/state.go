package berylstorecache

import (
	"cmp"
	"slices"
	"time"

	"berylspan/core/berylevacuation"
	"berylspan/core/berylhistory"
	"berylspan/core/berylhttpconfig"
	"berylspan/core/berylregistration"
)

// State is what an instance knows of the published configuration and server list. It is
// immutable. A change is relevant if it brings a newer configuration, begins or ends an
// evacuation or changes the list in more than what Equivalent of an entry ignores.
type State struct {
	Config           *berylhttpconfig.Config                     // nil while none is known
	RawConfig        []byte                                      // as published
	Era              int64                                       // of the store that Revision and ChangeRevision belong to
	ChangeRevision   int64                                       // of the last relevant change; can exceed Revision after a delayed removal
	Revision         int64                                       // up to which the store was read
	Servers          map[string]berylregistration.Registration   // by ID
	ServersByService map[string][]berylregistration.Registration // sorted by ID, without those in evacuated data centres
	ServersByAddr    map[string]berylregistration.Registration   // by address of the backend server
	Digest           uint64                                      // of Servers
	Evacuated        berylevacuation.Zones                       // nil while unknown
	ConfirmedAt      time.Time                                   // when the store was last known to hold this state
}

// comparePosition orders positions in the history of the store, -1 if the first is earlier.
// Revisions start again from an earlier one in each era.
func comparePosition(era, revision, otherEra, otherRevision int64) int {
	return cmp.Or(cmp.Compare(era, otherEra), cmp.Compare(revision, otherRevision))
}

// buildIndexes sets the fields that follow from Servers and Evacuated. Of two servers with the same
// address only the one that started later is indexed.
func (s *State) buildIndexes() {
	s.Digest = berylhistory.Digest(s.Servers)
	s.ServersByAddr = make(map[string]berylregistration.Registration, len(s.Servers))
	for _, server := range s.Servers {
		if other, ok := s.ServersByAddr[server.Addr]; !ok || server.Born > other.Born || (server.Born == other.Born && server.ID < other.ID) {
			s.ServersByAddr[server.Addr] = server
		}
	}
	s.ServersByService = map[string][]berylregistration.Registration{}
	for _, server := range s.ServersByAddr {
		if s.Evacuated.Contains(server.Zone) {
			continue
		}
		s.ServersByService[server.Service] = append(s.ServersByService[server.Service], server)
	}
	for _, servers := range s.ServersByService {
		slices.SortFunc(servers, func(a, b berylregistration.Registration) int { return cmp.Compare(a.ID, b.ID) })
	}
}
