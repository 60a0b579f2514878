package berylbackoff

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestDelayUntilRoom(t *testing.T) {
	for _, tc := range []struct {
		name                 string
		room, target, random float64 // seconds, except random
		want                 float64 // seconds
	}{
		{"room soon, first to return", 0.2, 1.5, 0, 0.2},
		{"room soon, last to return", 0.2, 1.5, 1, 0.3},
		{"room at once", 0.001, 1.5, 0, 0.05},
		{"room later than a retry can use", 2, 1.5, 0.5, 0.25},
		{"unknown", 0, 1.5, 0.5, 0.25},
		{"target missed already, room within a third of the time left", 1, -1, 0, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			seconds := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
			got := DelayUntilRoom(seconds(tc.room), seconds(tc.target), 5*time.Second, tc.random)
			require.InDelta(t, tc.want, got.Seconds(), 1e-3)
		})
	}
}

func TestLateDelay(t *testing.T) {
	for _, tc := range []struct {
		name                     string
		target, deadline, random float64 // seconds, except random
		want                     float64 // seconds
	}{
		{"first to return", 1.5, 5, 0, 0.75},
		{"last to return", 1.5, 5, 1, 1.05},
		{"no longer than callers wait", 1.5, 1.5, 1, 0.5},
		{"target missed already", -1, 3, 0.5, 1},
		{"no time left", 0.01, 0.01, 0.5, 0.05},
	} {
		t.Run(tc.name, func(t *testing.T) {
			seconds := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
			require.InDelta(t, tc.want, LateDelay(seconds(tc.target), seconds(tc.deadline), tc.random).Seconds(), 1e-3)
		})
	}
}
