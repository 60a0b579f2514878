package beryladmission_test

import (
	"testing"
	"time"

	"berylspan/core/beryladmission"

	"github.com/stretchr/testify/require"
)

// Load: a full queue at a server that becomes cold. Its requests must not start as slots become
// free, nor wait until they expire.
func TestQueueOfServerThatBecomesCold(t *testing.T) {
	now := time.Unix(1_000, 0)
	c := beryladmission.New[int](10)
	c.SetCold(12, false)
	started, waiting := 0, 0
	for i := range 60 {
		switch decision, _ := c.Arrive(now, beryladmission.Request{Kind: "k", Nested: i%2 == 0, TimeToDeadline: time.Minute, TimeToTarget: time.Minute}, i); decision {
		case beryladmission.Start:
			started++
		case beryladmission.Wait:
			waiting++
		}
	}
	require.Equal(t, 10, started)
	require.Equal(t, 50, waiting)
	require.Zero(t, c.ColdWait(now))
	c.SetCold(12, true)
	for range 10 {
		c.Done(beryladmission.Request{Kind: "k"}, time.Millisecond, true)
	}
	dropped := 0
	for {
		if _, ok := c.DropExcess(now, 100*time.Millisecond); !ok {
			break
		}
		dropped++
	}
	require.Equal(t, 49, dropped, "one may start within that time")
	_, _, ok := c.Next(now)
	require.True(t, ok)
	c.Arrive(now, beryladmission.Request{Kind: "k", TimeToDeadline: time.Minute, TimeToTarget: time.Minute}, 61)
	require.Equal(t, time.Second, c.ColdWait(now), "12 have started, most of them before it was cold")
}
