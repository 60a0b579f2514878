package berylgranter

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"berylspan/core/berylclass"
	"berylspan/core/beryltiming"
	"berylspan/core/beryltokenrequest"
	"berylspan/core/beryltokenusage"
)

const (
	rate  = 40.0
	burst = 30.0
)

func request(id uint64, tokens float64, usage ...beryltokenusage.Usage) beryltokenrequest.Request {
	r := beryltokenrequest.Request{Workspace: "w", ID: id, Usage: usage}
	r.Want[berylclass.Standard] = tokens
	return r
}

// newFullGranter returns a granter whose buckets start full, a clock that advances
// by the given duration, and the end of the ownership.
func newFullGranter() (*Granter, func(time.Duration) time.Time, time.Time) {
	now := time.Unix(100, 0)
	g := New(now.Add(-time.Hour), beryltiming.Default())
	return g, func(d time.Duration) time.Time { now = now.Add(d); return now }, now.Add(time.Hour)
}

func TestOutstandingTokensCountAgainstBurst(t *testing.T) {
	scenarios := []struct {
		name  string
		usage []beryltokenusage.Usage
		after time.Duration
		want  float64
	}{
		{"nothing accrues while the whole burst is outstanding", nil, 900 * time.Millisecond, 0},
		{"tokens that may have been spent just before expiry are not granted again", nil, 1010 * time.Millisecond, 0},
		{"tokens accrue after the batch has expired", nil, 1251 * time.Millisecond, 10},
		{"a late usage report frees the burst only from then on", []beryltokenusage.Usage{{BatchID: 1, Tokens: 30}}, 900 * time.Millisecond, 0},
		{"returned tokens can be granted at once", []beryltokenusage.Usage{{BatchID: 1, Tokens: 10, Closed: true}}, 10 * time.Millisecond, 20},
		{"a usage report for another batch changes nothing", []beryltokenusage.Usage{{BatchID: 9, Tokens: 10, Closed: true}}, 10 * time.Millisecond, 0},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			g, clock, until := newFullGranter()
			first := g.Grant(clock(0), until, request(1, 100), rate, burst)
			require.InDelta(t, burst, first.Tokens, 0)
			second := g.Grant(clock(s.after), until, request(2, 100, s.usage...), rate, burst)
			require.InDelta(t, s.want, second.Tokens, 1)
		})
	}
}

func TestBatchExpiresWithOwnership(t *testing.T) {
	g, clock, _ := newFullGranter()
	now := clock(0)
	b := g.Grant(now, now.Add(200*time.Millisecond), request(1, 5), rate, burst)
	require.Equal(t, 200*time.Millisecond, b.TTL)
}

func TestDuplicateRequestIsGrantedOnce(t *testing.T) {
	g, clock, until := newFullGranter()
	require.InDelta(t, 5, g.Grant(clock(0), until, request(1, 5), rate, burst).Tokens, 0)
	require.Zero(t, g.Grant(clock(time.Millisecond), until, request(1, 5), rate, burst).Tokens)
}
