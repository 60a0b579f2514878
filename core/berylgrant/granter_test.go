package berylgrant

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"berylspan/core/berylask"
	"berylspan/core/berylclass"
	"berylspan/core/berylspent"
	"berylspan/core/berylterm"
)

const (
	rate  = 40.0
	burst = 30.0
)

func ask(id uint64, n float64, spent ...berylspent.Usage) berylask.Request {
	a := berylask.Request{Workspace: "w", ID: id, Usage: spent}
	a.Want[berylclass.Standard] = n
	return a
}

// start returns a granter whose burst is full, and a clock that moves by the
// span given.
func start() (*Granter, func(time.Duration) time.Time, time.Time) {
	now := time.Unix(100, 0)
	g := New(now.Add(-time.Hour), berylterm.Default())
	return g, func(d time.Duration) time.Time { now = now.Add(d); return now }, now.Add(time.Hour)
}

func TestTokensThatAreOutCountAgainstTheBurst(t *testing.T) {
	scenarios := []struct {
		name  string
		spent []berylspent.Usage
		after time.Duration
		want  float64
	}{
		{"nothing accrues while the whole burst may still be spent", nil, 900 * time.Millisecond, 0},
		{"what was spent just before its expiry is not granted again", nil, 1010 * time.Millisecond, 0},
		{"after the expiry the rate accrues", nil, 1251 * time.Millisecond, 10},
		{"a late word of spending frees the burst only from then on", []berylspent.Usage{{BatchID: 1, Tokens: 30}}, 900 * time.Millisecond, 0},
		{"tokens given back can be granted at once", []berylspent.Usage{{BatchID: 1, Tokens: 10, Closed: true}}, 10 * time.Millisecond, 20},
		{"word of another batch changes nothing", []berylspent.Usage{{BatchID: 9, Tokens: 10, Closed: true}}, 10 * time.Millisecond, 0},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			g, clock, until := start()
			first := g.Grant(clock(0), until, ask(1, 100), rate, burst)
			require.InDelta(t, burst, first.Tokens, 0)
			second := g.Grant(clock(s.after), until, ask(2, 100, s.spent...), rate, burst)
			require.InDelta(t, s.want, second.Tokens, 1)
		})
	}
}

func TestBatchEndsWithTheOwnership(t *testing.T) {
	g, clock, _ := start()
	now := clock(0)
	b := g.Grant(now, now.Add(200*time.Millisecond), ask(1, 5), rate, burst)
	require.Equal(t, 200*time.Millisecond, b.TTL)
}

func TestAskThatArrivesTwiceIsGrantedOnce(t *testing.T) {
	g, clock, until := start()
	require.InDelta(t, 5, g.Grant(clock(0), until, ask(1, 5), rate, burst).Tokens, 0)
	require.Zero(t, g.Grant(clock(time.Millisecond), until, ask(1, 5), rate, burst).Tokens)
}
