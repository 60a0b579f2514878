package berylthrottle

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestOneLineOfEachKindInAnInterval(t *testing.T) {
	throttle := New(time.Second)
	at := func(ms int) time.Time { return time.UnixMilli(int64(100_000 + ms)) }
	require.Equal(t, 1, throttle.Add("a", at(0)))
	require.Equal(t, 0, throttle.Add("a", at(500)))
	require.Equal(t, 1, throttle.Add("b", at(500)))
	require.Equal(t, 0, throttle.Add("a", at(999)))
	require.Equal(t, 3, throttle.Add("a", at(1000)))
}
