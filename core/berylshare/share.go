// Package berylshare computes the share of a workspace's rate and burst that a data
// centre grants, also while the configuration changes.
package berylshare

import (
	"slices"
	"time"

	"berylspan/core/berylconfig"
	"berylspan/core/berylhash"
	"berylspan/core/berylplan"
	"berylspan/core/berylzone"
)

// Share tracks the weights of the data centres in the accepted configurations.
// While data centres may still follow different ones, the smallest of the old and
// new fractions applies, so that the fractions never add up to more than 1. It is
// not safe for concurrent use.
type Share struct {
	zone     string
	cfg      *berylconfig.Config
	previous []previousZones
}

type previousZones struct {
	zones []berylzone.Zone
	until time.Time
}

// TransitionPeriod is how long a smaller fraction applies after a change of the
// weights. It is longer than a change may take to be in force everywhere.
const TransitionPeriod = 15 * time.Second

// New returns the share of zone, which is 0 until a configuration is set.
func New(zone string) *Share { return &Share{zone: zone} }

// SetConfig follows cfg, the configuration in force.
func (s *Share) SetConfig(now time.Time, cfg *berylconfig.Config) {
	if cfg == s.cfg {
		return
	}
	s.previous = slices.DeleteFunc(s.previous, func(p previousZones) bool { return !now.Before(p.until) })
	if s.cfg != nil && !slices.Equal(s.cfg.Zones, cfg.Zones) {
		s.previous = append(s.previous, previousZones{zones: s.cfg.Zones, until: now.Add(TransitionPeriod)})
	}
	s.cfg = cfg
}

// Limits returns the rate, in calls per second, and the burst, in calls, that the
// data centre grants to a workspace, or 0 for an unknown workspace.
func (s *Share) Limits(now time.Time, workspace string) (rate, burst float64) {
	if s.cfg == nil {
		return 0, 0
	}
	w := s.cfg.Workspaces[workspace]
	if w == nil {
		return 0, 0
	}
	fraction := Fraction(s.zone, s.cfg.Zones, workspace, w.Plan)
	for _, p := range s.previous {
		if now.Before(p.until) {
			fraction = min(fraction, Fraction(s.zone, p.zones, workspace, w.Plan))
		}
	}
	return w.Plan.Rate * fraction, w.Plan.Burst * fraction
}

// Fraction returns the fraction of the plan, 0 to 1, that zone grants to workspace.
// Tokens are whole, so a burst that would leave a data centre less than one token
// is split among fewer of them: one for every two tokens, and at least one. The
// others request their tokens from these.
func Fraction(zone string, zones []berylzone.Zone, workspace string, plan *berylplan.Plan) float64 {
	sum, weight := weights(zone, zones)
	if sum == 0 {
		return 0
	}
	smallest := 1.0
	for _, z := range zones {
		smallest = min(smallest, z.Weight/sum)
	}
	if plan.Burst*smallest >= 1 {
		return weight / sum
	}
	names := make([]string, len(zones))
	for i, z := range zones {
		names[i] = z.Name
	}
	n := max(1, int(plan.Burst/2))
	chosen := berylhash.Top(n, workspace, names)
	if !slices.Contains(chosen, zone) {
		return 0
	}
	return 1 / float64(len(chosen))
}

func weights(zone string, zones []berylzone.Zone) (sum, weight float64) {
	for _, z := range zones {
		sum += z.Weight
		if z.Name == zone {
			weight = z.Weight
		}
	}
	return sum, weight
}
