package berylfullmesh

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Machines of a fleet of 17 are replaced, three every four seconds. Each instance counts those that it
// has heard of lately, so that some count the machines that are gone, and some do not yet count the
// new ones. Nobody may expect gossip from one that does not send it.
func TestInstanceThatIsNotToldCountsOthersAsSilent(t *testing.T) {
	const fleet, replaced = 17, 8
	for counted := fleet; counted <= fleet+replaced; counted++ {
		for other := fleet; other <= fleet+replaced; other++ {
			if ExpectsAll(counted) {
				require.True(t, TellsAll(other), "one counts %d instances, the other %d", counted, other)
			}
		}
	}
	require.False(t, TellsAll(84), "each instance of a large fleet would tell all others")
}
