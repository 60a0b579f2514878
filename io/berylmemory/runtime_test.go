package berylmemory

import (
	"math"
	"os"
	"path/filepath"
	"runtime/debug"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestLimitMemory(t *testing.T) {
	before := debug.SetMemoryLimit(math.MaxInt64)
	t.Cleanup(func() { debug.SetMemoryLimit(before) })
	t.Setenv("GOMEMLIMIT", "")
	require.EqualValues(t, 200<<20, LimitRuntime(200<<20))
	require.EqualValues(t, 100<<20, debug.SetMemoryLimit(-1))
	t.Setenv("GOMEMLIMIT", "set")
	require.EqualValues(t, 200<<20, LimitRuntime(0), "what the runtime was told")
	require.EqualValues(t, 100<<20, LimitRuntime(100<<20), "the settings name less")
	require.EqualValues(t, 100<<20, debug.SetMemoryLimit(-1), "it stays as it was")
}

func TestCgroupMemory(t *testing.T) {
	path := filepath.Join(t.TempDir(), "memory.max")
	require.Zero(t, cgroupMemory(path))
	for text, want := range map[string]int64{"max\n": 0, "1048576\n": 1 << 20, "": 0} {
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		require.Equal(t, want, cgroupMemory(path), text)
	}
}
