package berylsidecar

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// Fifteen instances of a data centre start together and tell the fifteen of
// another: all of those hear one of them at every turn.
func TestAllOfAnotherDataCentreHearSomebodyAtEveryTurn(t *testing.T) {
	const n = 15
	var own, others []string
	for i := range n {
		own = append(own, fmt.Sprintf("10.0.1.%d", i))
		others = append(others, fmt.Sprintf("10.0.2.%d", i))
	}
	for turn := range 20 {
		heard := map[string]bool{}
		for i, host := range own {
			rest := append(append([]string{}, own[:i]...), own[i+1:]...)
			heard[inTurn(others, placeOf(host, rest), turn)] = true
		}
		require.Len(t, heard, n)
	}
}
