// Package berylsplitter distributes requests over the parts of a split rule by
// smooth weighted round robin.
//
// The shares must hold within short windows. Random choice deviates too far from
// them at low request rates.
package berylsplitter

import "berylspan/core/beryldestination"

// Splitter chooses a part for each request. It is not safe for concurrent use.
type Splitter struct {
	currentWeight map[string]float64 // by service
}

// New returns a splitter. Phase, in [0,1), differs between instances so that they do
// not all start with the same part.
func New(parts []beryldestination.Destination, phase float64) *Splitter {
	s := &Splitter{currentWeight: map[string]float64{}}
	total := totalWeight(parts)
	offset := phase * total
	for _, p := range parts {
		if offset < p.Weight && offset >= 0 {
			s.currentWeight[p.Service] = total / 2
		}
		offset -= p.Weight
	}
	return s
}

func totalWeight(parts []beryldestination.Destination) float64 {
	total := 0.0
	for _, p := range parts {
		total += p.Weight
	}
	return total
}

// Next returns the service of the part that gets the next request, "" without parts.
func (s *Splitter) Next(parts []beryldestination.Destination) string {
	if len(parts) == 1 {
		return parts[0].Service
	}
	best := ""
	for _, p := range parts {
		if p.Weight <= 0 {
			continue
		}
		s.currentWeight[p.Service] += p.Weight
		if best == "" || s.currentWeight[p.Service] > s.currentWeight[best] {
			best = p.Service
		}
	}
	s.currentWeight[best] -= totalWeight(parts)
	return best
}
