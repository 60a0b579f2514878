package berylgate

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func admitted(g *Gate, now time.Time, step int, returning bool, n int) int {
	in := 0
	for range n {
		if g.Admit(now, "rule", step, returning) {
			in++
		}
	}
	return in
}

func TestShortageLetsInWhatFitsAndTheImportantFirst(t *testing.T) {
	g := New()
	now := time.Unix(1_000, 0)
	require.Equal(t, 100, admitted(g, now, 0, false, 100), "nothing is known of a shortage")
	for range 30 {
		g.Report(now, "rule", 0.25)
	}
	require.InDelta(t, 25, admitted(g, now, 0, false, 100), 1)
	require.InDelta(t, 75, admitted(g, now, 1, false, 100), 1)
	require.Equal(t, 100, admitted(g, now, 2, false, 100))
	require.InDelta(t, 50, admitted(g, now, 0, true, 100), 1, "those that come back go first")
}

func TestShortageIsForgottenWithoutReports(t *testing.T) {
	g := New()
	now := time.Unix(1_000, 0)
	for range 30 {
		g.Report(now, "rule", 0.1)
	}
	require.Equal(t, 100, admitted(g, now.Add(5*time.Second), 0, false, 100))
}
