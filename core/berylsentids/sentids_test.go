package berylsentids

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// Requests that a server refuses are sent again at once, on connections that were used last. A
// request must never be sent where a copy of its refusal can still come.
func TestRefusedRequestIsSentAgainOnAnotherConnection(t *testing.T) {
	idle := []*Set{{}, {}, {}} // connections, used last at the end
	opened := 0
	sentOn := map[string]map[*Set]bool{}
	for n := range 500 {
		id := fmt.Sprint(n / 5) // Five attempts, one after the other.
		chosen := -1
		for i := range idle {
			if !idle[i].Contains(id) {
				chosen = i
			}
		}
		if chosen < 0 {
			idle = append(idle, &Set{})
			chosen = len(idle) - 1
			opened++
		}
		c := idle[chosen]
		if sentOn[id] == nil {
			sentOn[id] = map[*Set]bool{}
		}
		require.False(t, sentOn[id][c], "request %s was sent on the connection before", id)
		sentOn[id][c] = true
		c.Add(id)
	}
	require.Equal(t, 2, opened, "connections opened for five attempts beside three idle ones")
}

func TestSetIsFullAfterItsLimit(t *testing.T) {
	var s Set
	for n := range maxIDs {
		require.False(t, s.Full())
		s.Add(fmt.Sprint(n))
	}
	require.True(t, s.Full())
	require.True(t, s.Contains("0"))
	require.False(t, s.Contains("other"))
}
