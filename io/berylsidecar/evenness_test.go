package berylsidecar

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"berylspan/core/berylevenness"

	"github.com/stretchr/testify/require"
)

func TestEvennessIsAMetricOfEachService(t *testing.T) {
	m := newMeter()
	m.watchEvenness(func() map[string]berylevenness.Evenness {
		return map[string]berylevenness.Evenness{"orders": {Spread: 0.25, IdleWhileQueued: 7}}
	})
	w := httptest.NewRecorder()
	m.handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	require.Contains(t, w.Body.String(), `berylspan_utilisation_spread{service="orders"} 0.25`)
	require.Contains(t, w.Body.String(), `berylspan_idle_slots_while_queued{service="orders"} 7`)
}
