package beryladmission

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// surge replays Poisson arrivals of two ranks at one backend server in virtual time.
type surge struct {
	slots       int
	serviceTime time.Duration // mean; single ones are 0.8 to 1.2 times as long
	target      time.Duration
	deadline    time.Duration
	length      time.Duration
	important   float64 // arrivals per second
	others      float64 // arrivals per second
}

// tally counts how the requests of one rank ended. age sums up the times from arrival to
// start of those that arrived in the first and in the second half.
type tally struct {
	arrived, inTime, late, refused, expired int
	started                                 [2]int
	age                                     [2]time.Duration
}

func (t tally) meanAge(half int) time.Duration {
	return t.age[half] / time.Duration(max(t.started[half], 1))
}

type arrival struct {
	at      time.Time
	request Request
}

type ending struct {
	at   time.Time
	took time.Duration
	arrival
}

type endings []ending

func (e endings) Len() int           { return len(e) }
func (e endings) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e endings) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *endings) Push(v any)        { *e = append(*e, v.(ending)) }
func (e *endings) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

func (s surge) run(seed uint64) (important, others tally) {
	r := rand.New(rand.NewPCG(seed, 0))
	c := New[arrival](s.slots)
	running := &endings{}
	tallyOf := func(a arrival) *tally {
		if a.request.Rank == 0 {
			return &important
		}
		return &others
	}
	start := func(now time.Time, a arrival) {
		took := time.Duration((0.8 + 0.4*r.Float64()) * float64(s.serviceTime))
		t := tallyOf(a)
		half := 0
		if a.at.After(startTime().Add(s.length / 2)) {
			half = 1
		}
		t.started[half]++
		t.age[half] += now.Sub(a.at)
		heap.Push(running, ending{now.Add(took), took, a})
	}
	advance := func(to time.Time) {
		for running.Len() > 0 && !(*running)[0].at.After(to) {
			e, _ := heap.Pop(running).(ending)
			t := tallyOf(e.arrival)
			if e.at.Sub(e.arrival.at) <= s.target {
				t.inTime++
			} else {
				t.late++
			}
			c.Done(e.request, e.took, true)
			for {
				a, expired, ok := c.Next(e.at)
				if !ok {
					break
				}
				if expired {
					tallyOf(a).expired++
					continue
				}
				start(e.at, a)
			}
		}
	}
	now := startTime()
	for end := now.Add(s.length); now.Before(end); {
		now = now.Add(time.Duration(r.ExpFloat64() / (s.important + s.others) * float64(time.Second)))
		advance(now)
		a := arrival{now, Request{Kind: "k", Rank: 3, TimeToDeadline: s.deadline, TimeToTarget: s.target}}
		if r.Float64() < s.important/(s.important+s.others) {
			a.request.Rank = 0
		}
		t := tallyOf(a)
		t.arrived++
		switch decision, _ := c.Arrive(now, a.request, a); decision {
		case Start:
			start(now, a)
		case Refuse:
			t.refused++
		}
	}
	advance(now.Add(time.Hour))
	return important, others
}

// Under a surge of 2.5 times the capacity, of which a fifth is more important, the wait of
// the others was predicted without the important requests that arrive meanwhile: of the
// others that were served, five of six were late.
func TestLessImportantWorkIsInTimeOrRefusedDuringSurge(t *testing.T) {
	const capacity = 4 / 0.04 // requests per second
	base := surge{slots: 4, serviceTime: 40 * time.Millisecond, target: 300 * time.Millisecond, deadline: 2 * time.Second, length: 30 * time.Second}
	for _, tc := range []struct {
		name              string
		important, others float64 // in multiples of the capacity
		maxLate           float64 // as a fraction of what the slots can serve of the others
	}{
		{"a fifth is more important", 0.5, 2, 0.03},
		{"most slots go to more important work", 0.8, 1.7, 0.1},
		{"nothing is more important", 0, 2.5, 0.03},
	} {
		t.Run(tc.name, func(t *testing.T) {
			for seed := range uint64(5) {
				s := base
				s.important, s.others = tc.important*capacity, tc.others*capacity
				important, others := s.run(seed)
				t.Logf("seed %d: important %+v, others %+v", seed, important, others)
				left := capacity*s.length.Seconds() - float64(important.inTime)
				require.GreaterOrEqual(t, float64(others.inTime), 0.9*left, "seed %d", seed)
				require.LessOrEqual(t, float64(others.late), tc.maxLate*left, "seed %d", seed)
				require.LessOrEqual(t, float64(others.expired), 0.1*left, "seed %d: refused after they waited", seed)
				require.LessOrEqual(t, float64(important.late+important.refused+important.expired), 0.02*float64(important.arrived), "seed %d", seed)
				for half := range 2 {
					require.Less(t, others.meanAge(half), s.target, "seed %d: a queue stands", seed)
				}
				if tc.important == 0 {
					require.GreaterOrEqual(t, float64(others.inTime), 0.97*left, "seed %d", seed)
				}
			}
		})
	}
}
