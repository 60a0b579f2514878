// Package berylidempotency records the idempotency keys of calls to non-idempotent routes
// and the answers to these calls, so that a retry with the same key does not run the
// call again.
package berylidempotency

import (
	"time"

	"berylspan/core/berylclaim"

	"github.com/google/uuid"
)

// Records is the idempotency keys used in one shard, kept by the owner of the shard. It
// is in memory only and has no records from before the ownership began, so it does not
// let a call run when its key may have been used before then. It is not safe for
// concurrent use.
type Records struct {
	ownedSince time.Time // wall time
	maxRecords int
	records    map[string]*record
	keysByAge  []string // oldest claim first; may contain keys whose record was deleted
}

type record struct {
	claimID   string
	claimedAt time.Time
	settled   bool
	done      bool
	answer    []byte
}

// Durations of records and claims.
const (
	RecordTTL    = 10 * time.Minute
	ClaimTTL     = 2 * time.Second // a call must begin within this time of the claim that allowed it
	MaxClockSkew = 5 * time.Second // largest assumed difference between the clocks of a caller and the owner
)

const defaultMaxRecords = 50_000

// MaxRecords sets the largest number of records to keep.
func MaxRecords(n int) func(*Records) { return func(r *Records) { r.maxRecords = n } }

// New returns the records, none yet, of an ownership that began at the wall time
// ownedSince.
func New(ownedSince time.Time, opts ...func(*Records)) *Records {
	r := &Records{ownedSince: ownedSince, maxRecords: defaultMaxRecords, records: map[string]*record{}}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// Claim decides whether a call may run under key and records the key if so. key
// identifies the operation; idempotencyKey is the key that the caller sent. The verdict
// on a call that completed before comes with its answer. A claim is allowed again under
// the same claimID until it is settled, because its verdict may have been lost; claimID
// must therefore differ between calls.
func (r *Records) Claim(now time.Time, key, idempotencyKey, claimID string) (berylclaim.Verdict, []byte) {
	r.removeExpired(now)
	if rec, ok := r.records[key]; ok {
		if rec.done {
			return berylclaim.Completed, rec.answer
		}
		if rec.claimID == claimID && !rec.settled {
			return berylclaim.Allowed, nil
		}
		return berylclaim.Indeterminate, nil
	}
	if !r.isNew(now, idempotencyKey) {
		return berylclaim.RecordsIncomplete, nil
	}
	if len(r.records) >= r.maxRecords {
		return berylclaim.TooManyRecords, nil
	}
	r.records[key] = &record{claimID: claimID, claimedAt: now}
	r.keysByAge = append(r.keysByAge, key)
	return berylclaim.Allowed, nil
}

// isNew reports whether a key without a record certainly has not been used: either the
// ownership began more than RecordTTL ago, so that records from before it would have
// expired by now, or the key is a version 7 UUID created after the ownership began. A
// version 7 UUID older than RecordTTL is not considered new, because its record may have
// expired. All comparisons allow for MaxClockSkew.
func (r *Records) isNew(now time.Time, idempotencyKey string) bool {
	createdAt, hasTime := KeyTime(idempotencyKey)
	if hasTime && now.Sub(createdAt) > RecordTTL-MaxClockSkew {
		return false
	}
	if now.Sub(r.ownedSince) >= RecordTTL+MaxClockSkew {
		return true
	}
	return hasTime && createdAt.After(r.ownedSince.Add(MaxClockSkew))
}

// KeyTime returns the timestamp in key, or false if key is not a version 7 UUID.
func KeyTime(key string) (time.Time, bool) {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return time.Time{}, false
	}
	sec, nsec := id.Time().UnixTime()
	return time.Unix(sec, nsec), true
}

// Settle records how the call that claimed key under claimID ended; only the first report
// on a claim counts. ran is false when the call certainly did not run; the key can then be
// claimed again. done is true when the call completed, and false when it may have run but
// its outcome is unknown. answer may be nil when it is too large to keep.
func (r *Records) Settle(key, claimID string, ran, done bool, answer []byte) {
	rec, ok := r.records[key]
	if !ok || rec.claimID != claimID || rec.settled {
		return
	}
	if !ran {
		delete(r.records, key)
		return
	}
	rec.settled, rec.done, rec.answer = true, done, answer
}

// Len returns the number of records.
func (r *Records) Len() int { return len(r.records) }

// removeExpired deletes the records that are older than RecordTTL.
func (r *Records) removeExpired(now time.Time) {
	for len(r.keysByAge) > 0 {
		rec, ok := r.records[r.keysByAge[0]]
		if ok && now.Sub(rec.claimedAt) < RecordTTL {
			return
		}
		if ok {
			delete(r.records, r.keysByAge[0])
		}
		r.keysByAge = r.keysByAge[1:]
	}
}
