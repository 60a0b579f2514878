// Package berylsnapshot is the control state that traffic reads.
package berylsnapshot

import (
	"time"

	"berylspan/core/berylconfig"
	"berylspan/core/berylinstance"
	"berylspan/core/berylroute"
	"berylspan/core/berylshard"
)

// Snapshot is never changed after it is published. Config is nil until a
// configuration was accepted. Source tells where it came from and At when.
type Snapshot struct {
	Config    *berylconfig.Config
	Instances []berylinstance.Instance
	ByService map[string][]berylinstance.Instance
	ByZone    map[string][]string
	Addresses map[string]string
	Rankings  map[string]*berylshard.Ranking
	Source    string
	At        time.Time
	Leaving   bool
	Version   int64
}

// Index returns a snapshot of the given instances. Leaving ones take part in
// neither services nor data centres.
func Index(cfg *berylconfig.Config, list []berylinstance.Instance) *Snapshot {
	s := &Snapshot{
		Config:    cfg,
		Instances: list,
		ByService: map[string][]berylinstance.Instance{},
		ByZone:    map[string][]string{},
		Addresses: map[string]string{},
		Rankings:  map[string]*berylshard.Ranking{},
	}
	for _, i := range list {
		s.Addresses[i.ID] = i.PeerAddr
		if i.Leaving {
			continue
		}
		s.ByService[i.Service] = append(s.ByService[i.Service], i)
		s.ByZone[i.Zone] = append(s.ByZone[i.Zone], i.ID)
	}
	for zone, ids := range s.ByZone {
		s.Rankings[zone] = berylshard.New(zone, ids)
	}
	return s
}

// Route returns the route at path, nil when there is none.
func (s *Snapshot) Route(path string) *berylroute.Route {
	if s.Config == nil {
		return nil
	}
	return s.Config.Routes[path]
}

// Ranking returns which instances of zone come first for each shard.
func (s *Snapshot) Ranking(zone string) *berylshard.Ranking {
	if r := s.Rankings[zone]; r != nil {
		return r
	}
	return berylshard.New(zone, nil)
}
