package berylquarantine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	killer   = 1
	innocent = 2
	other    = 3
)

// exchange makes every instance hear all changes of the others, more than once.
func exchange(now time.Time, instances ...*Quarantine) {
	for range 2 {
		for _, from := range instances {
			records := append(from.Changes(now, 100), from.Suspects(now, 100)...)
			for _, to := range instances {
				to.Merge(now, records)
				to.Merge(now, records)
			}
		}
	}
}

func TestCheck(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, tc := range []struct {
		name    string
		play    func(q *Quarantine)
		after   time.Duration
		suspect bool
		wait    time.Duration
	}{
		{name: "a request that nothing is known of", play: func(*Quarantine) {}},
		{name: "two servers ended", play: func(q *Quarantine) {
			q.ServerEnded(start, 1, []uint64{killer}, 0)
			q.ServerEnded(start, 2, []uint64{killer}, 0)
		}},
		{name: "the same lifetime is reported three times", play: func(q *Quarantine) {
			for range 3 {
				q.ServerEnded(start, 1, []uint64{killer}, 0)
			}
		}},
		{name: "three servers ended, a trial is possible", suspect: true, play: func(q *Quarantine) {
			for l := range uint64(3) {
				q.ServerEnded(start, l, []uint64{killer, innocent}, 0)
			}
		}},
		{name: "a server answered between the ends", play: func(q *Quarantine) {
			q.ServerEnded(start, 1, []uint64{killer}, 0)
			q.ServerEnded(start, 2, []uint64{killer}, 0)
			q.Answered(start, killer)
			q.ServerEnded(start, 3, []uint64{killer}, 0)
		}},
		{name: "the server of the trial ended", after: 20 * time.Second, suspect: true, wait: firstRefusal - 20*time.Second, play: func(q *Quarantine) {
			for l := range uint64(3) {
				q.ServerEnded(start, l, []uint64{killer}, 0)
			}
			q.ServerEnded(start, 4, []uint64{killer, other}, killer)
		}},
		{name: "the refusal after a trial has expired", after: firstRefusal, suspect: true, play: func(q *Quarantine) {
			for l := range uint64(4) {
				q.ServerEnded(start, l, []uint64{killer}, l/3*killer)
			}
		}},
		{name: "the second failed trial doubles the refusal", suspect: true, wait: 2 * firstRefusal, play: func(q *Quarantine) {
			for l := range uint64(5) {
				q.ServerEnded(start, l, []uint64{killer}, l/3*killer)
			}
		}},
		{name: "the refusal does not grow without end", suspect: true, wait: maxRefusal, play: func(q *Quarantine) {
			for l := range uint64(40) {
				q.ServerEnded(start, l, []uint64{killer}, killer)
			}
		}},
		{name: "another suspect ran beside the trial", suspect: true, play: func(q *Quarantine) {
			for l := range uint64(3) {
				q.ServerEnded(start, l, []uint64{killer, innocent}, 0)
			}
			q.ServerEnded(start, 4, []uint64{killer, innocent}, killer)
		}},
		{name: "the trial is answered", play: func(q *Quarantine) {
			for l := range uint64(3) {
				q.ServerEnded(start, l, []uint64{killer}, 0)
			}
			q.Answered(start, killer)
		}},
		{name: "a long time passes", after: suspectTTL, play: func(q *Quarantine) {
			for l := range uint64(4) {
				q.ServerEnded(start, l, []uint64{killer}, l/3*killer)
			}
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			q := New()
			tc.play(q)
			now := start.Add(tc.after)
			q.Evict(now)
			suspect, wait := q.Check(now, killer)
			require.Equal(t, tc.suspect, suspect)
			require.Equal(t, tc.wait, wait)
		})
	}
}

// Each of three instances sees one server end. All must know of all three.
func TestEndsSeenByDifferentInstancesAreCounted(t *testing.T) {
	now := time.Unix(1000, 0)
	a, b, c := New(), New(), New()
	a.ServerEnded(now, 1, []uint64{killer, innocent}, 0)
	b.ServerEnded(now, 2, []uint64{killer, innocent}, 0)
	c.ServerEnded(now, 3, []uint64{killer, other}, 0)
	exchange(now, a, b, c)
	for _, q := range []*Quarantine{a, b, c} {
		suspect, _ := q.Check(now, killer)
		require.True(t, suspect)
		suspect, _ = q.Check(now, innocent)
		require.False(t, suspect)
	}
}

// An instance that starts later hears of suspects with their refusals.
func TestStartedInstanceHearsOfSuspects(t *testing.T) {
	now := time.Unix(1000, 0)
	a, started := New(), New()
	for l := range uint64(3) {
		a.ServerEnded(now, l, []uint64{killer}, 0)
	}
	a.ServerEnded(now, 4, []uint64{killer}, killer)
	for range 2 * shares {
		a.Changes(now, 100)
	}
	now = now.Add(10 * time.Second)
	require.Equal(t, []uint64{killer}, started.Merge(now, a.Suspects(now, 100)))
	suspect, wait := started.Check(now, killer)
	require.True(t, suspect)
	require.Equal(t, firstRefusal-10*time.Second, wait)
}

// A record from before the answer arrives late.
func TestLateRecordDoesNotBringAClearedRequestBack(t *testing.T) {
	now := time.Unix(1000, 0)
	a, b := New(), New()
	for l := range uint64(3) {
		a.ServerEnded(now, l, []uint64{innocent}, 0)
	}
	late := a.Suspects(now, 100)
	b.Merge(now, late)
	require.True(t, b.Answered(now, innocent))
	exchange(now, b, a)
	for _, q := range []*Quarantine{a, b} {
		q.Merge(now, late)
		suspect, _ := q.Check(now, innocent)
		require.False(t, suspect)
	}
}

// An instance did not hear that a request was cleared. It must learn that from those to which it
// tells of the suspect.
func TestInstanceThatMissedTheAnswerIsCorrected(t *testing.T) {
	now := time.Unix(1000, 0)
	a, missed := New(), New()
	for l := range uint64(3) {
		a.ServerEnded(now, l, []uint64{innocent}, 0)
	}
	missed.Merge(now, a.Suspects(now, 100))
	a.Answered(now, innocent)
	require.Empty(t, a.Suspects(now, 100))
	a.Merge(now, missed.Suspects(now, 100))
	missed.Merge(now, a.Suspects(now, 100))
	suspect, _ := missed.Check(now, innocent)
	require.False(t, suspect)
	require.Empty(t, a.Suspects(now, 100), "it is told once")
}

func TestChangesAreReturnedAFewTimes(t *testing.T) {
	now := time.Unix(1000, 0)
	q := New()
	fingerprints := make([]uint64, 10)
	for i := range fingerprints {
		fingerprints[i] = uint64(i + 1)
	}
	q.ServerEnded(now, 1, fingerprints, 0)
	count := map[uint64]int{}
	for range 20 {
		records := q.Changes(now, 4)
		require.LessOrEqual(t, len(records), 4)
		for _, r := range records {
			count[r.Fingerprint]++
		}
	}
	require.Len(t, count, len(fingerprints))
	for _, n := range count {
		require.Equal(t, shares, n)
	}
	require.Empty(t, q.Suspects(now, 100))
}

// More requests than the table holds: suspects stay.
func TestFullTableKeepsSuspects(t *testing.T) {
	now := time.Unix(1000, 0)
	q := New()
	for l := range uint64(3) {
		q.ServerEnded(now, l, []uint64{killer}, 0)
	}
	for i := range uint64(maxEntries + 100) {
		q.ServerEnded(now.Add(time.Duration(i)), 9, []uint64{i + 100}, 0)
	}
	require.Equal(t, maxEntries, q.Len())
	suspect, _ := q.Check(now, killer)
	require.True(t, suspect)
}

func TestEvict(t *testing.T) {
	now := time.Unix(1000, 0)
	q := New()
	q.ServerEnded(now, 1, []uint64{other}, 0)
	q.ServerEnded(now, 1, []uint64{innocent}, 0)
	q.Answered(now, innocent)
	q.Evict(now.Add(clearedTTL))
	require.Equal(t, 1, q.Len())
	q.Evict(now.Add(endTTL))
	require.Zero(t, q.Len())
}
