package berylsidecar

import "github.com/prometheus/client_golang/prometheus"

// evacuated reports whether the data centre of the backend server beside is evacuated, by the
// settings of the instance or by the list's entry of the server.
func (s *Sidecar) evacuated() bool {
	st := s.cache.State()
	if len(st.Evacuated) == 0 {
		return false
	}
	set := s.set.Load()
	entry, ok := st.ServersByAddr[set.Backend]
	return st.Evacuated.Contains(set.Zone) || (ok && st.Evacuated.Contains(entry.Zone))
}

// isListed reports whether a server is in the published list.
func (s *Sidecar) isListed(serverID string) bool {
	_, ok := s.cache.State().Servers[serverID]
	return ok
}

// watchEvacuations adds gauges of the evacuations that are in force.
func (m *meter) watchEvacuations(count func() int, own func() bool) {
	m.reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: namespace, Name: "evacuated_zones", Help: "Data centres whose evacuation is in force.",
	}, func() float64 { return float64(count()) }), prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: namespace, Name: "evacuated", Help: "1 while the data centre of the backend server beside the instance is evacuated.",
	}, func() float64 {
		if own() {
			return 1
		}
		return 0
	}))
}
