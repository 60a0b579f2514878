// Package berylsplitter spreads requests over the parts of a split rule.
//
// It answers a split whose shares must hold within short windows: random choice
// strays too far at low rates, so parts take turns in proportion to weights.
package berylsplitter

import "berylspan/core/berylpart"

// Splitter takes turns between parts. It is not safe for concurrent use.
type Splitter struct {
	credit map[string]float64
}

// New returns a splitter; phase in [0,1) sets instances apart so that they do
// not all begin with the same part.
func New(parts []berylpart.Part, phase float64) *Splitter {
	s := &Splitter{credit: map[string]float64{}}
	total := sum(parts)
	at := phase * total
	for _, p := range parts {
		if at < p.Weight && at >= 0 {
			s.credit[p.Service] = total / 2
		}
		at -= p.Weight
	}
	return s
}

func sum(parts []berylpart.Part) float64 {
	total := 0.0
	for _, p := range parts {
		total += p.Weight
	}
	return total
}

// Next returns the part whose turn it is, "" without parts.
func (s *Splitter) Next(parts []berylpart.Part) string {
	if len(parts) == 1 {
		return parts[0].Service
	}
	best := ""
	for _, p := range parts {
		if p.Weight <= 0 {
			continue
		}
		s.credit[p.Service] += p.Weight
		if best == "" || s.credit[p.Service] > s.credit[best] {
			best = p.Service
		}
	}
	s.credit[best] -= sum(parts)
	return best
}
