package berylsidecar

import (
	"net/http"
	"strconv"
	"time"

	"berylspan/core/berylserverstatus"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// meter counts for operators.
type meter struct {
	reg      *prometheus.Registry
	requests *prometheus.HistogramVec
	ends     *prometheus.CounterVec
	works    *prometheus.CounterVec
	waits    *prometheus.HistogramVec
	panics   *prometheus.CounterVec
	lost     *prometheus.CounterVec
	crashes  prometheus.Counter
	limited  *prometheus.CounterVec
	discards *prometheus.CounterVec
}

const namespace = "berylspan"

func newMeter() *meter {
	m := &meter{
		reg: prometheus.NewRegistry(),
		requests: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "request_seconds",
			Help:    "Time of callers' requests from arrival to the decision on the answer, in seconds.",
			Buckets: prometheus.ExponentialBuckets(0.002, 2, 13),
		}, []string{"workspace", "rule"}),
		ends: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "requests_total", Help: "Callers' requests by rule, status and reason.",
		}, []string{"rule", "status", "reason"}),
		works: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "work_total", Help: "Requests for the backend server beside the instance by rule, end and reason.",
		}, []string{"rule", "end", "reason"}),
		waits: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "wait_seconds", Help: "Time that requests waited beside the backend server, in seconds.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 13),
		}, []string{"rule"}),
	}
	m.panics = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "panics_total", Help: "Panics in the handling of one input, by part of the daemon.",
	}, []string{"part"})
	m.lost = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "unanswered_total", Help: "Callers' requests that ended without a complete answer during a stop, by rule and what they waited for.",
	}, []string{"rule", "wait"})
	m.crashes = prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: namespace, Name: "server_ends_total", Help: "Unannounced ends of the backend server beside the instance while it ran requests.",
	})
	m.limited = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "limited_total", Help: "Requests refused and connections closed because of a limit on memory, header lines or connections, by kind.",
	}, []string{"kind"})
	m.discards = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "discarded_responses_total", Help: "Responses of the backend server beside the instance that did not answer the request under way, by kind and by whether they are rejections.",
	}, []string{"kind", "rejection"})
	m.reg.MustRegister(m.discards, m.limited, m.requests, m.ends, m.works, m.waits, m.panics, m.lost, m.crashes)
	return m
}

func (m *meter) handler() http.Handler { return promhttp.HandlerFor(m.reg, promhttp.HandlerOpts{}) }

func (m *meter) panicked(part string) { m.panics.WithLabelValues(part).Inc() }

func (m *meter) unanswered(rule, wait string) { m.lost.WithLabelValues(rule, wait).Inc() }

func (m *meter) discarded(kind string, rejection bool) {
	m.discards.WithLabelValues(kind, strconv.FormatBool(rejection)).Inc()
}

const noServerLimit = -1 // 0 is a limit

// watchServer adds gauges of what the backend server beside says about itself.
func (m *meter) watchServer(status func() berylserverstatus.Status) {
	m.reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: namespace, Name: "server_limit", Help: "Requests per second that the backend server beside the instance says it accepts, -1 while it names no limit.",
	}, func() float64 {
		if s := status(); s.Limited {
			return s.Limit
		}
		return noServerLimit
	}), prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: namespace, Name: "server_leaving", Help: "1 once the backend server beside the instance has said that it is shutting down.",
	}, func() float64 {
		if status().Leaving {
			return 1
		}
		return 0
	}))
}

// watchCold adds gauges of how long the backend server beside stays cold and what it tolerates
// until then.
func (m *meter) watchCold(cold func() (coldFor time.Duration, perSecond float64)) {
	m.reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: namespace, Name: "server_cold_seconds", Help: "Seconds for which the backend server beside the instance stays cold, 0 while it is warm.",
	}, func() float64 {
		coldFor, _ := cold()
		return coldFor.Seconds()
	}), prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: namespace, Name: "server_cold_limit", Help: "Requests per second that the backend server beside the instance tolerates while it is cold, 0 for no limit.",
	}, func() float64 {
		_, perSecond := cold()
		return perSecond
	}))
}

// watchShedding adds gauges of the share of arrivals that the backend server rejects,
// and of the largest such share of a whole service.
func (m *meter) watchShedding(own func() float64, worst func() (service string, share float64)) {
	m.reg.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: namespace, Name: "server_shedding_ratio", Help: "Share of the latest arrivals that the backend server beside the instance rejected.",
		}, own),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: namespace, Name: "service_shedding_ratio", Help: "Largest share of arrivals that all servers of a service reject, 0 below 0.15.",
		}, func() float64 { _, share := worst(); return share }))
}

// watchSuspects adds a gauge of the requests that may run in trials only.
func (m *meter) watchSuspects(count func() int) {
	m.reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: namespace, Name: "quarantined_requests", Help: "Requests that may run in trials only, because backend servers ended while they ran them.",
	}, func() float64 { return float64(count()) }))
}

// watchMemory adds a gauge of what is held for callers and other instances.
func (m *meter) watchMemory(held func() int64) {
	m.reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: namespace, Name: "held_bytes", Help: "Memory charged to the requests and answers of callers and of other instances, in bytes.",
	}, func() float64 { return float64(held()) }))
}

func (m *meter) request(workspace, rule string, status int, reason string, took time.Duration) {
	m.requests.WithLabelValues(workspace, rule).Observe(took.Seconds())
	m.ends.WithLabelValues(rule, strconv.Itoa(status), reason).Inc()
}

func (m *meter) work(rule, end, reason string, waited time.Duration) {
	m.works.WithLabelValues(rule, end, reason).Inc()
	m.waits.WithLabelValues(rule).Observe(waited.Seconds())
}
