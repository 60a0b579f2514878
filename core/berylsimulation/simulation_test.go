package berylsimulation_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"berylspan/core/berylscenario"
	"berylspan/core/berylsimulation"

	"github.com/stretchr/testify/require"
)

const (
	maxWastedFraction    = 0.03 // of the processing time of servers, as for the prices of a loaded day
	minImportantFraction = 0.95 // of the value of requests that are more important than the least important ones
)

// restartsAll reports whether all instances are restarted in a scenario. The requests
// that run at that moment fail under any policy.
func restartsAll(s berylscenario.Scenario) bool {
	return slices.ContainsFunc(s.Disturbances, func(d berylscenario.Disturbance) bool { return d.Kind == berylscenario.FullRestart })
}

// The decisions of the product must not do worse than no decisions, refuse requests
// without need, waste processing time on requests that fail, or sacrifice important
// requests to less important ones.
func TestFullPolicyUnderLoadPatterns(t *testing.T) {
	for _, s := range berylscenario.Patterns() {
		if !strings.HasPrefix(s.Name, "chain/") && !strings.HasSuffix(s.Name, "/deep-lost") {
			continue // Larger deployments take long; cmd/experiment runs them all.
		}
		t.Run(s.Name, func(t *testing.T) {
			t.Parallel()
			full := berylsimulation.Run(s, berylsimulation.Policies()["full"], 1)
			off := berylsimulation.Run(s, berylsimulation.Policies()["off"], 1)
			require.GreaterOrEqual(t, full.All.EarnedFraction(), off.All.EarnedFraction()-0.01, "no worse than without decisions")
			if len(s.Disturbances) == 0 {
				require.Zero(t, full.All.Refused+full.All.Failed, "no request is refused or fails without disturbances")
			}
			// Requests that run on an instance when it stops are lost under any policy.
			require.LessOrEqual(t, full.WastedSeconds/full.ServerSeconds, max(maxWastedFraction, off.WastedSeconds/off.ServerSeconds))
			for _, rule := range s.Rules {
				if rule.Importance > 0 && !restartsAll(s) {
					require.GreaterOrEqual(t, full.ByRule[rule.Name].EarnedFraction(), minImportantFraction, rule.Name)
				}
			}
		})
	}
}

// The service that all call chains lead to is offered up to three times its capacity.
// Without a limit on in-flight requests, as in an earlier version, requests pile up in
// the services that call it and become late or fail.
func TestInflightLimitPreventsPileUp(t *testing.T) {
	for _, s := range berylscenario.Patterns() {
		if !strings.HasSuffix(s.Name, "/deep-lost") {
			continue
		}
		t.Run(s.Name, func(t *testing.T) {
			t.Parallel()
			full := berylsimulation.Run(s, berylsimulation.Policies()["full"], 2)
			unlimited := berylsimulation.Run(s, berylsimulation.Policies()["unbound"], 2)
			require.Greater(t, full.All.EarnedFraction(), unlimited.All.EarnedFraction())
			require.Less(t, full.All.Late+full.All.Failed, (unlimited.All.Late+unlimited.All.Failed)/2)
		})
	}
}

func TestSameSeedGivesSameResult(t *testing.T) {
	s := berylscenario.Patterns()[1]
	s.Duration = 5 * time.Second
	a, b := berylsimulation.Run(s, berylsimulation.Policies()["full"], 3), berylsimulation.Run(s, berylsimulation.Policies()["full"], 3)
	require.Equal(t, a.All, b.All)
}
