// Package berylmetrics provides the Prometheus metrics of a daemon and the refusals that
// explain shows.
package berylmetrics

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"berylspan/core/berylrefusalevent"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Metrics collects metrics and remembers recent refusals. It is safe for concurrent use.
type Metrics struct {
	reg        *prometheus.Registry
	calls      *prometheus.HistogramVec
	refusals   *prometheus.CounterVec
	attempts   *prometheus.CounterVec
	violations *prometheus.CounterVec
	limited    *prometheus.CounterVec
	discarded  *prometheus.CounterVec

	mu             sync.Mutex
	recentRefusals []berylrefusalevent.Event
	oldest         int // index into recentRefusals once that holds maxRefusals
}

const (
	maxRefusals = 1024
	namespace   = "berylspan"
)

// New returns metrics with the given additional gauges, which are evaluated when the
// metrics are scraped.
func New(gauges map[string]func() float64) *Metrics {
	m := &Metrics{
		reg: prometheus.NewRegistry(),
		calls: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "call_seconds",
			Help:    "Time of callers' calls from arrival to the end of the answer, in seconds.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 14),
		}, []string{"workspace", "class"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "refused_total", Help: "Refused calls by reason and by whether they ran.",
		}, []string{"reason", "run"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "attempts_total", Help: "Calls sent to an instance, retries included, by service.",
		}, []string{"service"}),
		violations: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "violations_total", Help: "Violated invariants; must stay 0.",
		}, []string{"invariant"}),
	}
	m.limited = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "limited_total", Help: "Requests refused and connections closed because of a limit on memory, header lines or connections, by kind.",
	}, []string{"kind"})
	m.discarded = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "discarded_responses_total", Help: "Responses of the backend server that did not answer the call under way, by kind and by whether they are rejections.",
	}, []string{"kind", "rejection"})
	m.reg.MustRegister(m.discarded, m.limited, m.calls, m.refusals, m.attempts, m.violations)
	for name, f := range gauges {
		m.reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: "See docs/OPERATORS.md."}, f))
	}
	return m
}

// Handler returns the handler for Prometheus scrapes.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.reg, promhttp.HandlerOpts{})
}

// ObserveCall records how long a caller's call took.
func (m *Metrics) ObserveCall(workspace, class string, duration time.Duration) {
	m.calls.WithLabelValues(workspace, class).Observe(duration.Seconds())
}

// CountAttempt counts a call sent to an instance.
func (m *Metrics) CountAttempt(service string) { m.attempts.WithLabelValues(service).Inc() }

// CountLimited counts what was done about a caller beyond a limit.
func (m *Metrics) CountLimited(kind string) { m.limited.WithLabelValues(kind).Inc() }

// CountDiscarded counts a response of the backend server that did not answer the call under way.
func (m *Metrics) CountDiscarded(kind string, rejection bool) {
	m.discarded.WithLabelValues(kind, strconv.FormatBool(rejection)).Inc()
}

// CountViolation counts a violation of the named invariant.
func (m *Metrics) CountViolation(invariant string) { m.violations.WithLabelValues(invariant).Inc() }

// RecordRefusal counts a refusal and remembers it for RecentRefusals.
func (m *Metrics) RecordRefusal(refusal berylrefusalevent.Event) {
	m.refusals.WithLabelValues(refusal.Reason, refusal.RunStatus).Inc()
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.recentRefusals) < maxRefusals {
		m.recentRefusals = append(m.recentRefusals, refusal)
		return
	}
	m.recentRefusals[m.oldest] = refusal
	m.oldest = (m.oldest + 1) % maxRefusals
}

// RecentRefusals returns at most n refusals of the given call and workspace, newest first.
// Empty strings match all.
func (m *Metrics) RecentRefusals(call, workspace string, n int) []berylrefusalevent.Event {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []berylrefusalevent.Event
	for i := range m.recentRefusals {
		e := m.recentRefusals[(m.oldest+len(m.recentRefusals)-1-i)%len(m.recentRefusals)]
		if (call == "" || e.CallID == call) && (workspace == "" || e.Workspace == workspace) && len(out) < n {
			out = append(out, e)
		}
	}
	return out
}
