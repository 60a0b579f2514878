// Package berylmetrics counts calls for operators.
package berylmetrics

import (
	"net/http"
	"sync"
	"time"

	"berylspan/core/berylrefusalevent"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Metrics is safe for concurrent use.
type Metrics struct {
	reg      *prometheus.Registry
	calls    *prometheus.HistogramVec
	refused  *prometheus.CounterVec
	attempts *prometheus.CounterVec
	broken   *prometheus.CounterVec

	mu     sync.Mutex
	events []berylrefusalevent.Event
	next   int
}

const (
	mostEvents = 1024
	namespace  = "berylspan"
)

// New returns metrics that also report the given gauges when they are read.
func New(gauges map[string]func() float64) *Metrics {
	m := &Metrics{
		reg: prometheus.NewRegistry(),
		calls: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "call_seconds",
			Help:    "Time of callers' calls from arrival to the end of the answer, in seconds.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 14),
		}, []string{"workspace", "class"}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "refused_total", Help: "Refused calls by reason and by whether they ran.",
		}, []string{"reason", "run"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "attempts_total", Help: "Calls sent to an instance, retries included, by service.",
		}, []string{"service"}),
		broken: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "violations_total", Help: "Violated invariants; must stay 0.",
		}, []string{"invariant"}),
	}
	m.reg.MustRegister(m.calls, m.refused, m.attempts, m.broken)
	for name, f := range gauges {
		m.reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: "See docs/OPERATORS.md."}, f))
	}
	return m
}

// Handler serves the metrics.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.reg, promhttp.HandlerOpts{})
}

// Call records the end of a caller's call.
func (m *Metrics) Call(workspace, class string, took time.Duration) {
	m.calls.WithLabelValues(workspace, class).Observe(took.Seconds())
}

// Attempt records a call sent to an instance.
func (m *Metrics) Attempt(service string) { m.attempts.WithLabelValues(service).Inc() }

// Violation records a violated invariant.
func (m *Metrics) Violation(invariant string) { m.broken.WithLabelValues(invariant).Inc() }

// Refused records a refusal and remembers it for explain.
func (m *Metrics) Refused(e berylrefusalevent.Event) {
	m.refused.WithLabelValues(e.Reason, e.RunStatus).Inc()
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.events) < mostEvents {
		m.events = append(m.events, e)
		return
	}
	m.events[m.next] = e
	m.next = (m.next + 1) % mostEvents
}

// Find returns the newest refusals, at most n, of the call or workspace given;
// empty strings match all.
func (m *Metrics) Find(call, workspace string, n int) []berylrefusalevent.Event {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []berylrefusalevent.Event
	for i := range m.events {
		e := m.events[(m.next+len(m.events)-1-i)%len(m.events)]
		if (call == "" || e.CallID == call) && (workspace == "" || e.Workspace == workspace) && len(out) < n {
			out = append(out, e)
		}
	}
	return out
}
