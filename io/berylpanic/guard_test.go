package berylpanic_test

import (
	"bytes"
	"testing"

	"berylspan/io/berylpanic"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

func TestPanicIsLoggedAndCountedAndEndsOnlyTheFunction(t *testing.T) {
	var log bytes.Buffer
	counted := map[string]int{}
	g := berylpanic.New(zerolog.New(&log), berylpanic.OnPanic(func(part string) { counted[part]++ }))
	require.True(t, g.Run("request", func() {}))
	var m map[string]int
	require.False(t, g.Run("datagram", func() { m["a"] = 1 }))
	require.Equal(t, map[string]int{"datagram": 1}, counted)
	require.Contains(t, log.String(), `"part":"datagram"`)
	require.Contains(t, log.String(), "assignment to entry in nil map")
	require.Contains(t, log.String(), "guard_test.go")
}
