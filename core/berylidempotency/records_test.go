package berylidempotency

import (
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"berylspan/core/berylclaim"
)

// uuidV7At returns a version 7 UUID created at the given time.
func uuidV7At(at time.Time) string {
	id, _ := uuid.NewV7()
	ms := uint64(at.UnixMilli())
	for i := range 6 {
		id[i] = byte(ms >> (40 - 8*i))
	}
	return id.String()
}

func TestOnlyUnusedKeysMayRun(t *testing.T) {
	ownedSince := time.Unix(1_000_000, 0)
	scenarios := []struct {
		name    string
		elapsed time.Duration // since ownedSince
		key     string
		want    berylclaim.Verdict
	}{
		{"UUID created after the ownership began", time.Minute, uuidV7At(ownedSince.Add(time.Minute)), berylclaim.Allowed},
		{"UUID created before the ownership began", time.Minute, uuidV7At(ownedSince.Add(-time.Second)), berylclaim.RecordsIncomplete},
		{"UUID created after the ownership began, but within the clock skew", time.Minute, uuidV7At(ownedSince.Add(time.Second)), berylclaim.RecordsIncomplete},
		{"key without a timestamp", time.Minute, "order-17", berylclaim.RecordsIncomplete},
		{"key without a timestamp after earlier records have expired", RecordTTL + time.Minute, "order-17", berylclaim.Allowed},
		{"UUID so old that its record may have expired", RecordTTL + time.Hour, uuidV7At(ownedSince.Add(time.Minute)), berylclaim.RecordsIncomplete},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			r := New(ownedSince)
			got, _ := r.Claim(ownedSince.Add(s.elapsed), "w/"+s.key, s.key, "call")
			require.Equal(t, s.want, got)
		})
	}
}

func TestRetryIsAnsweredFromRecord(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	r := New(now.Add(-time.Hour))
	claim := func(call string) (berylclaim.Verdict, []byte) { return r.Claim(now, "k", "k", call) }
	first, _ := claim("1")
	require.Equal(t, berylclaim.Allowed, first)
	same, _ := claim("1")
	require.Equal(t, berylclaim.Allowed, same, "the claim is repeated because the verdict was lost")
	retry, _ := claim("2")
	require.Equal(t, berylclaim.Indeterminate, retry)
	r.Settle("k", "2", false, false, nil)
	retry, _ = claim("2")
	require.Equal(t, berylclaim.Indeterminate, retry, "only the call that claimed the key can settle it")
	r.Settle("k", "1", true, true, []byte("a"))
	done, answer := claim("2")
	require.Equal(t, berylclaim.Completed, done)
	require.Equal(t, []byte("a"), answer)
	now = now.Add(RecordTTL)
	require.Equal(t, 1, r.Len())
	again, _ := claim("3")
	require.Equal(t, berylclaim.Allowed, again, "the record has expired")
}

// Daemons of earlier versions claim with the ID of the root call, which later calls below the root share.
func TestClaimIsNotRepeatedAfterItsCallEnded(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	r := New(now.Add(-time.Hour))
	first, _ := r.Claim(now, "k", "k", "root")
	require.Equal(t, berylclaim.Allowed, first)
	r.Settle("k", "root", true, false, nil)
	again, _ := r.Claim(now, "k", "k", "root")
	require.Equal(t, berylclaim.Indeterminate, again, "the call may have run")
	r.Settle("k", "root", false, false, nil)
	again, _ = r.Claim(now, "k", "k", "root")
	require.Equal(t, berylclaim.Indeterminate, again, "the claim was settled before")
}
