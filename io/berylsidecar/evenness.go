package berylsidecar

import (
	"berylspan/core/berylevenness"

	"github.com/prometheus/client_golang/prometheus"
)

// evennessCollector collects how evenly the load of services is spread over their servers.
type evennessCollector struct {
	evenness        func() map[string]berylevenness.Evenness
	spread          *prometheus.Desc
	idleWhileQueued *prometheus.Desc
}

// watchEvenness adds gauges of how evenly the load of each service is spread.
func (m *meter) watchEvenness(evenness func() map[string]berylevenness.Evenness) {
	labels := []string{"service"}
	m.reg.MustRegister(&evennessCollector{
		evenness: evenness,
		spread: prometheus.NewDesc(prometheus.BuildFQName(namespace, "", "utilisation_spread"),
			"Standard deviation of the utilisation of the servers of a service in the own data centre, as this instance knows it.", labels, nil),
		idleWhileQueued: prometheus.NewDesc(prometheus.BuildFQName(namespace, "", "idle_slots_while_queued"),
			"Slots that are free at some servers of a service in the own data centre while as many requests wait at others, as this instance knows it.", labels, nil),
	})
}

// Describe implements prometheus.Collector.
func (c *evennessCollector) Describe(ch chan<- *prometheus.Desc) {
	ch <- c.spread
	ch <- c.idleWhileQueued
}

// Collect implements prometheus.Collector.
func (c *evennessCollector) Collect(ch chan<- prometheus.Metric) {
	for service, e := range c.evenness() {
		ch <- prometheus.MustNewConstMetric(c.spread, prometheus.GaugeValue, e.Spread, service)
		ch <- prometheus.MustNewConstMetric(c.idleWhileQueued, prometheus.GaugeValue, e.IdleWhileQueued, service)
	}
}
