package berylplacement

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Servers that call an overloaded service throttle new requests. While the own
// data centre has servers that do not, they are used and other data centres are
// not; when all of them throttle, the request is not sent anywhere.
func TestNewRequestsOfThrottledRuleStayInOwnDataCentre(t *testing.T) {
	cs := []Candidate{{Limit: 5, Throttled: true}, {Limit: 5, Busy: 4}, {Limit: 5, OtherZone: true}}
	ExcludeThrottled(cs)
	i, _ := new(Chooser).Choose(cs, Costs{}, func() float64 { return 0 })
	require.Equal(t, 1, i)
	cs[1].Throttled = true
	ExcludeThrottled(cs)
	i, _ = new(Chooser).Choose(cs, Costs{}, func() float64 { return 0 })
	require.Equal(t, -1, i)
}

// A slow server joins at low load. The fast servers are never full, so without
// this rule it would get no requests and its service time would never be measured.
func TestIdleServerIsTriedOnce(t *testing.T) {
	cs := []Candidate{{Limit: 20, ServiceTime: 0.02}, {Limit: 20, ServiceTime: 0.05, Idle: true}}
	i, _ := new(Chooser).Choose(cs, Costs{}, func() float64 { return 0 })
	require.Equal(t, 1, i)
	cs[1].Idle = false
	i, _ = new(Chooser).Choose(cs, Costs{}, func() float64 { return 0 })
	require.Equal(t, 0, i)
	cs[1].Idle, cs[1].OtherZone = true, true
	i, _ = new(Chooser).Choose(cs, Costs{CrossZone: 0.06}, func() float64 { return 0 })
	require.Equal(t, 0, i, "not in another data centre")
}

// The own data centre has no server of the service, so a server elsewhere that is
// not throttled is the only choice.
func TestOtherDataCentresAreUsedWhenOwnHasNoServers(t *testing.T) {
	cs := []Candidate{{OtherZone: true, Throttled: true}, {OtherZone: true}}
	ExcludeThrottled(cs)
	require.True(t, cs[0].Excluded)
	require.False(t, cs[1].Excluded)
}
