package berylrunner_test

import (
	"net/http"
	"testing"

	"berylspan/core/berylattempt"
	"berylspan/core/berylheadernames"
	"berylspan/core/berylregistration"
	"berylspan/io/berylreply"
	"berylspan/io/berylrunner"

	"github.com/stretchr/testify/require"
)

// A sender that does not know of the evacuation is told that the request has not run.
func TestRequestForServerInEvacuatedDataCentreIsRefused(t *testing.T) {
	entry := berylregistration.Registration{ID: "i-1", Service: "s", Slots: 20, Born: 1}
	s := startHoldingServer(t)
	evacuated := true
	r := berylrunner.New(s.Listener.Addr().String(), berylheadernames.Default(), func() (berylregistration.Registration, bool) { return entry, true },
		berylrunner.Evacuated(func() bool { return evacuated }))
	for _, nested := range []bool{false, true} {
		reply := r.Run(t.Context(), newRequest(1, "plain", nested))
		require.Equal(t, berylattempt.Unsent, reply.Outcome)
		require.Equal(t, berylreply.ReasonEvacuated, reply.Reason)
	}
	require.Zero(t, s.arrived.Load())
	evacuated = false
	require.Equal(t, http.StatusOK, r.Run(t.Context(), newRequest(2, "plain", false)).Status)
}
