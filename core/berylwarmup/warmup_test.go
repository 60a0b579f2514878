package berylwarmup_test

import (
	"testing"
	"time"

	"berylspan/core/beryllifetime"
	"berylspan/core/berylwarmup"

	"github.com/stretchr/testify/require"
)

const coldStart = 3 * time.Second

// Load: a server that starts, ends or becomes cold again under requests.
func TestServerCountsAsColdUntilItIsKnownToBeWarm(t *testing.T) {
	begin := time.Unix(1_000, 0)
	at := func(s float64) time.Time { return begin.Add(time.Duration(s * float64(time.Second))) }
	until := func(s float64) *time.Time { u := at(s); return &u }
	warm := &time.Time{}
	one, two := beryllifetime.Lifetime{ID: "i-1", BornMs: 1}, beryllifetime.Lifetime{ID: "i-1", BornMs: 2}
	for _, tc := range []struct {
		name string
		play func(w *berylwarmup.Warmup)
		now  float64 // seconds after the start of the daemon
		want time.Duration
	}{
		{"the daemon has just started beside a warm server", func(w *berylwarmup.Warmup) { w.Update(at(0.2), one, warm, coldStart) }, 0.4, 600 * time.Millisecond},
		{"a second later", func(w *berylwarmup.Warmup) { w.Update(at(0.2), one, warm, coldStart) }, 1, 0},
		{"listed as cold", func(w *berylwarmup.Warmup) { w.Update(at(0.2), one, until(2.5), coldStart) }, 2, 500 * time.Millisecond},
		{"a lifetime that only the sender of a request knows", func(w *berylwarmup.Warmup) { w.Update(at(5), one, nil, coldStart) }, 6, 2 * time.Second},
		{"then listed as warm", func(w *berylwarmup.Warmup) {
			w.Update(at(5), one, nil, coldStart)
			w.Update(at(5.5), one, warm, coldStart)
		}, 6, 0},
		{"the next lifetime starts under the same id", func(w *berylwarmup.Warmup) {
			w.Update(at(5), one, warm, coldStart)
			w.Update(at(8), two, until(11), coldStart)
		}, 9, 2 * time.Second},
		{"cold again in the same lifetime", func(w *berylwarmup.Warmup) {
			w.Update(at(5), one, warm, coldStart)
			w.Update(at(8), one, until(11), coldStart)
		}, 9, 2 * time.Second},
		{"nothing accepts connections", func(w *berylwarmup.Warmup) {
			w.Update(at(5), one, warm, coldStart)
			w.Unreachable()
		}, 9, coldStart},
		{"something answers again before the list tells", func(w *berylwarmup.Warmup) {
			w.Update(at(5), one, warm, coldStart)
			w.Unreachable()
			w.Answered(at(9), coldStart)
			w.Answered(at(10), coldStart)
		}, 10, 2 * time.Second},
		{"requests come back after some time", func(w *berylwarmup.Warmup) {
			w.Update(at(5), one, warm, coldStart)
			w.Requested(at(5), coldStart)
			w.Requested(at(9), coldStart)
			w.Requested(at(9.5), coldStart)
		}, 10, time.Second},
		{"requests that come all the time", func(w *berylwarmup.Warmup) {
			w.Update(at(5), one, warm, coldStart)
			w.Requested(at(5), coldStart)
			w.Requested(at(8), coldStart)
		}, 8, 0},
		{"and the list tells of the lifetime", func(w *berylwarmup.Warmup) {
			w.Update(at(5), one, warm, coldStart)
			w.Unreachable()
			w.Answered(at(9), coldStart)
			w.Update(at(9.5), two, until(11.5), coldStart)
		}, 10, 1500 * time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w := berylwarmup.New(begin)
			tc.play(w)
			require.Equal(t, tc.want, w.ColdFor(at(tc.now), coldStart))
		})
	}
}
