package berylslowstart_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"berylspan/core/berylevacuation"
	"berylspan/core/berylslowstart"

	"github.com/stretchr/testify/require"
)

func TestShareGrowsAfterTheReturn(t *testing.T) {
	now := time.Unix(1000, 0)
	s := berylslowstart.New()
	s.Update(now, berylevacuation.Zones{"a": 1, "b": 1})
	require.False(t, s.Active(), "nothing has returned")
	s.Update(now, berylevacuation.Zones{"b": 1})
	require.True(t, s.Active())
	require.InDelta(t, 0.1, s.Share(now, "a"), 0.001)
	require.InDelta(t, 0.55, s.Share(now.Add(berylslowstart.Duration/2), "a"), 0.001)
	require.InDelta(t, 1, s.Share(now.Add(berylslowstart.Duration), "a"), 0.001)
	require.InDelta(t, 1, s.Share(now, "c"), 0.001, "never evacuated")
	s.Update(now.Add(berylslowstart.Duration), berylevacuation.Zones{"b": 1})
	require.False(t, s.Active())
}

// 1,000 requests a second are sent while a data centre returns, whose idle servers are the best
// choice for each of them. Without the decision it gets all of the first 100.
func TestReturningDataCentreIsNotSentEverythingAtOnce(t *testing.T) {
	const perSecond = 1000
	random := rand.New(rand.NewPCG(1, 2))
	now := time.Unix(1000, 0)
	s := berylslowstart.New()
	s.Update(now, berylevacuation.Zones{"a": 1})
	s.Update(now, nil)
	sent := 0
	for i := range perSecond / 10 {
		if random.Float64() < s.Share(now.Add(time.Duration(i)*time.Second/perSecond), "a") {
			sent++
		}
	}
	require.Less(t, sent, perSecond/10/4)
	require.Positive(t, sent)
}
