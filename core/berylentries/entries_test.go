package berylentries

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// drawEntries draws entries from a small set of values, so that two draws have
// some entries in common.
func drawEntries(t *rapid.T, label string) Entries {
	ws, plans := "", ""
	for i, n := range rapid.SliceOfN(rapid.IntRange(0, 3), 1, 6).Draw(t, label) {
		if i > 0 {
			ws, plans = ws+",", plans+","
		}
		ws += fmt.Sprintf(`{"name": "w%d", "plan": "p%d"}`, i, n)
		plans += fmt.Sprintf(`{"name":"p%d","rate":%d}`, i, n)
	}
	e, err := Split([]byte(`{"workspaces":[`+ws+`]}`), []byte(`{"plans":[`+plans+`],"zones":[{"name":"z"}],"routes":[]}`))
	require.NoError(t, err)
	return e
}

func TestApplyOfDiffGivesTheNewEntries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		old, now := drawEntries(t, "old"), drawEntries(t, "now")
		changes := now.Diff(old)
		got := old.Apply(changes)
		require.Equal(t, now, got)
		require.Equal(t, now.Digest(), got.Digest())
		require.Equal(t, now.Digest(), old.DigestAfter(old.Digest(), changes))
		require.Equal(t, len(changes) == 0, old.Digest() == now.Digest())
		again, err := Split(got.Join())
		require.NoError(t, err)
		require.Equal(t, now, again)
	})
}
