package berylexperiment_test

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"berylspan/io/berylexperiment"

	"github.com/stretchr/testify/require"
)

func TestFlagsThatSayNothingAreRefused(t *testing.T) {
	for _, c := range []struct {
		name string
		args []string
	}{
		{"unknown policy", []string{"-policies", "perfect"}},
		{"unknown pattern", []string{"-pattern", "no such load"}},
		{"unknown flag", []string{"-speed", "2"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var out, complaints bytes.Buffer
			require.Equal(t, 2, berylexperiment.Experiment{Out: &out, Err: &complaints}.Run(c.args))
			require.NotEmpty(t, complaints.String())
			require.Empty(t, out.String())
		})
	}
}

func TestAPatternIsPlayedWithEveryPolicyAndPlotted(t *testing.T) {
	var out, complaints bytes.Buffer
	dir := t.TempDir()
	code := berylexperiment.Experiment{Out: &out, Err: &complaints}.Run([]string{"-pattern", "chain/calm", "-policies", "full,off", "-plots", dir})
	require.Zero(t, code, complaints.String())
	require.Contains(t, out.String(), "chain/calm")
	require.Contains(t, out.String(), "full")
	plot, err := os.ReadFile(filepath.Join(dir, "chain-calm.svg"))
	require.NoError(t, err)
	require.Contains(t, string(plot), "<svg")
}
