package beryladmission_test

import (
	"testing"
	"time"

	"berylspan/core/beryladmission"

	"github.com/stretchr/testify/require"
)

// A server with many slots names 10 requests a second and is offered 40, a quarter of them
// important: those must be served first, and the others refused on arrival rather than kept.
func TestImportantRequestsGoFirstAtNamedRate(t *testing.T) {
	const (
		rate        = 10.0
		serviceTime = 100 * time.Millisecond
		target      = time.Second
	)
	now := time.Unix(0, 0)
	c := beryladmission.New[beryladmission.Request](100)
	c.SetRate(now, rate)
	var ends []time.Time
	started, refused, late := map[int]int{}, map[int]int{}, 0
	arrivals := map[beryladmission.Request]time.Time{}
	run := func(r beryladmission.Request) {
		started[r.Rank]++
		ends = append(ends, now.Add(serviceTime))
		if at, ok := arrivals[r]; ok && now.Sub(at)+serviceTime > target {
			late++
		}
	}
	offered := 0
	for ; now.Before(time.Unix(20, 0)); now = now.Add(5 * time.Millisecond) {
		for len(ends) > 0 && !ends[0].After(now) {
			ends = ends[1:]
			c.Done(beryladmission.Request{Kind: "k"}, serviceTime, true)
		}
		if now.UnixMilli()%25 == 0 {
			rank := 2
			if offered++; offered%4 == 0 {
				rank = 1
			}
			r := beryladmission.Request{Rank: rank, Kind: "k", TimeToTarget: target, TimeToDeadline: 2*target + time.Duration(offered)}
			arrivals[r] = now
			switch decision, after := c.Arrive(now, r, r); decision {
			case beryladmission.Start:
				run(r)
			case beryladmission.Refuse:
				refused[rank]++
				require.Positive(t, after, "time until there may be room")
			}
		}
		for {
			r, expired, ok := c.Next(now)
			if !ok {
				break
			}
			if !expired {
				run(r)
			}
		}
	}
	require.InDelta(t, rate*20, float64(started[1]+started[2]), rate, "the rate is used")
	require.Zero(t, refused[1])
	require.Greater(t, refused[2], 300)
	require.Zero(t, late)
}

func TestNextStartTellsWhenTheRateAllowsIt(t *testing.T) {
	now := time.Unix(0, 0)
	c := beryladmission.New[int](4)
	request := beryladmission.Request{Kind: "k", TimeToTarget: time.Second, TimeToDeadline: time.Second}
	c.SetRate(now, 2)
	decision, wait := c.Arrive(now, request, 1)
	require.Equal(t, beryladmission.Wait, decision)
	require.Equal(t, 500*time.Millisecond, wait)
	next, ok := c.NextStart(now)
	require.True(t, ok)
	require.Equal(t, 500*time.Millisecond, next)
	_, _, ok = c.Next(now.Add(next / 2))
	require.False(t, ok)
	c.ClearRate()
	v, expired, ok := c.Next(now.Add(next / 2))
	require.True(t, ok)
	require.False(t, expired)
	require.Equal(t, 1, v)
}
