package berylview

import (
	"cmp"
	"slices"
	"time"

	"berylspan/core/berylchanges"
	"berylspan/core/beryllisted"
	"berylspan/core/berylpublished"
)

// State is what an instance knows of the published lists; it is immutable. Raw
// is the configuration as it was published. Change is the revision of the last
// change that mattered and Revision the one up to which the store was read.
type State struct {
	Published *berylpublished.Config // nil while none is known
	Raw       []byte
	Change    int64
	Revision  int64
	Listed    map[string]beryllisted.Registration
	Services  map[string][]beryllisted.Registration // by id
	Hosts     map[string]beryllisted.Registration   // by address of the backend server
	Digest    uint64                                // of Listed
	Fresh     time.Time                             // when the store was last known to hold this
}

// index fills what follows from the list. Of two entries with one address the
// later lifetime holds.
func (s *State) index() {
	s.Digest = berylchanges.Digest(s.Listed)
	s.Hosts = make(map[string]beryllisted.Registration, len(s.Listed))
	for _, l := range s.Listed {
		if o, ok := s.Hosts[l.Addr]; !ok || l.Born > o.Born || (l.Born == o.Born && l.ID < o.ID) {
			s.Hosts[l.Addr] = l
		}
	}
	s.Services = map[string][]beryllisted.Registration{}
	for _, l := range s.Hosts {
		s.Services[l.Service] = append(s.Services[l.Service], l)
	}
	for _, list := range s.Services {
		slices.SortFunc(list, func(a, b beryllisted.Registration) int { return cmp.Compare(a.ID, b.ID) })
	}
}
