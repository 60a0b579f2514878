package beryltokencache

import (
	"testing"
	"time"

	"berylspan/core/berylclass"
	"berylspan/core/beryltiming"
	"berylspan/core/beryltokenbatch"

	"github.com/stretchr/testify/require"
)

// Calls were refused while an owner whose ownership ended granted tokens too short to spend.
func TestTokensTooShortToSpendKeepOtherDataCentresFromBeingAsked(t *testing.T) {
	id := uint64(0)
	c := New(beryltiming.Default(), func() uint64 { id++; return id })
	now, zones := time.Unix(1000, 0), []string{"a", "b"}
	for range 100 {
		c.RecordCall(now, "w", berylclass.Critical)
	}
	c.AddWaiting(now, "w", berylclass.Critical, 1)
	zone, req, ok := c.NextRequest(now, "w", zones)
	require.True(t, ok)
	require.Equal(t, "a", zone)
	c.HandleBatch(now, "w", "a", beryltokenbatch.Batch{ID: req.ID, Tokens: req.TotalTokens(), TTL: minRemainingTTL - time.Millisecond})
	_, ok = c.Take(now, "w", berylclass.Critical)
	require.False(t, ok)
	zone, req, ok = c.NextRequest(now, "w", zones)
	require.True(t, ok)
	require.Equal(t, "b", zone)
	c.HandleBatch(now, "w", "b", beryltokenbatch.Batch{ID: req.ID, Tokens: req.TotalTokens(), TTL: time.Second})
	_, ok = c.Take(now, "w", berylclass.Critical)
	require.True(t, ok)
}
