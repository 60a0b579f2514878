// Package berylsnapshot defines the control-plane state that the data path reads.
package berylsnapshot

import (
	"time"

	"berylspan/core/berylconfig"
	"berylspan/core/berylinstance"
	"berylspan/core/berylroute"
	"berylspan/core/berylshard"
)

// Snapshot is the configuration and the instance list at one time. It must not be
// changed after it is published.
//
// Config is nil until a configuration has been accepted; Source is where the accepted
// one came from, and AcceptedAt is when. Addresses maps the IDs of all instances to the
// addresses of their daemons. Leaving tells whether this instance is leaving. Version
// grows with every published snapshot.
type Snapshot struct {
	Config             *berylconfig.Config
	Instances          []berylinstance.Instance
	InstancesByService map[string][]berylinstance.Instance
	IDsByZone          map[string][]string
	Addresses          map[string]string
	Rankings           map[string]*berylshard.Ranking
	Source             string
	AcceptedAt         time.Time
	Leaving            bool
	Version            int64
}

// New returns a snapshot of the given configuration and instances. Leaving instances
// are listed in Instances and Addresses only.
func New(cfg *berylconfig.Config, instances []berylinstance.Instance) *Snapshot {
	s := &Snapshot{
		Config:             cfg,
		Instances:          instances,
		InstancesByService: map[string][]berylinstance.Instance{},
		IDsByZone:          map[string][]string{},
		Addresses:          map[string]string{},
		Rankings:           map[string]*berylshard.Ranking{},
	}
	for _, inst := range instances {
		s.Addresses[inst.ID] = inst.PeerAddr
		if inst.Leaving {
			continue
		}
		s.InstancesByService[inst.Service] = append(s.InstancesByService[inst.Service], inst)
		s.IDsByZone[inst.Zone] = append(s.IDsByZone[inst.Zone], inst.ID)
	}
	for zone, ids := range s.IDsByZone {
		s.Rankings[zone] = berylshard.NewRanking(zone, ids)
	}
	return s
}

// Route returns the route with the given path, or nil when there is none.
func (s *Snapshot) Route(path string) *berylroute.Route {
	if s.Config == nil {
		return nil
	}
	return s.Config.Routes[path]
}

// Ranking returns the ranking of the instances of zone, which is empty when there are
// none.
func (s *Snapshot) Ranking(zone string) *berylshard.Ranking {
	if r := s.Rankings[zone]; r != nil {
		return r
	}
	return berylshard.NewRanking(zone, nil)
}
