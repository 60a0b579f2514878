package berylline

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func begin() time.Time { return time.Unix(1_000, 0) }

func TestCallsOfRunningWorkGoBeforeNewWork(t *testing.T) {
	l := New[string](1)
	now := begin()
	verdict, _ := l.Arrive(now, Ask{Kind: "root", Left: time.Second, Aim: time.Second}, "running")
	require.Equal(t, Start, verdict)
	l.Done(Ask{Kind: "root"}, 10*time.Millisecond, true)
	verdict, _ = l.Arrive(now, Ask{Kind: "root", Left: time.Second, Aim: time.Second}, "running")
	require.Equal(t, Start, verdict)
	for _, a := range []struct {
		name string
		ask  Ask
	}{
		{"less urgent", Ask{Kind: "root", Rank: 2, Left: time.Second, Aim: time.Second}},
		{"urgent", Ask{Kind: "root", Rank: 0, Left: time.Second, Aim: time.Second}},
		{"late", Ask{Kind: "root", Rank: 0, Left: time.Second}},
		{"call", Ask{Kind: "call", Call: true, Left: time.Second, Aim: time.Second}},
	} {
		verdict, _ = l.Arrive(now, a.ask, a.name)
		require.Equal(t, Wait, verdict, a.name)
	}
	var order []string
	for range 4 {
		l.Done(Ask{Kind: "root"}, 10*time.Millisecond, true)
		v, expired, ok := l.Next(now)
		require.True(t, ok)
		require.False(t, expired)
		order = append(order, v)
	}
	require.Equal(t, []string{"call", "urgent", "less urgent", "late"}, order)
}

// A burst of three times what the server can run: in order of arrival everyone
// would wait beyond the objective; here those that cannot make it are refused
// when they arrive and whoever waits is served in time.
func TestBurstIsRefusedOnArrivalAndNobodyWaitsInVain(t *testing.T) {
	const (
		slots = 4
		work  = 100 * time.Millisecond
		aim   = 400 * time.Millisecond
	)
	l := New[int](slots)
	now := begin()
	type run struct {
		id  int
		end time.Time
	}
	var running []run
	arrived := map[int]time.Time{}
	refused, late, served := 0, 0, 0
	ask := Ask{Kind: "k", Left: 5 * time.Second, Aim: aim}
	advance := func(to time.Time) {
		for len(running) > 0 && !running[0].end.After(to) {
			r := running[0]
			running = running[1:]
			l.Done(ask, work, true)
			served++
			if r.end.Sub(arrived[r.id]) > aim {
				late++
			}
			for {
				v, expired, ok := l.Next(r.end)
				if !ok {
					break
				}
				require.False(t, expired, "waited in vain")
				running = append(running, run{v, r.end.Add(work)})
			}
		}
	}
	for i := range 240 { // 120 a second for 2 s, three times the capacity
		now = begin().Add(time.Duration(i) * time.Second / 120)
		advance(now)
		arrived[i] = now
		switch verdict, _ := l.Arrive(now, ask, i); verdict {
		case Start:
			running = append(running, run{i, now.Add(work)})
		case Refuse:
			refused++
		}
	}
	advance(now.Add(time.Minute))
	require.Zero(t, late, "served after the objective")
	require.Equal(t, 240, refused+served)
	require.GreaterOrEqual(t, served, 80, "capacity of 2 s was left unused")
}

func TestRequestThatCannotFinishIsNotStarted(t *testing.T) {
	l := New[string](1)
	now := begin()
	l.Arrive(now, Ask{Kind: "k", Left: time.Second, Aim: time.Second}, "first")
	l.Done(Ask{Kind: "k"}, 200*time.Millisecond, true)
	l.Arrive(now, Ask{Kind: "k", Left: time.Second, Aim: time.Second}, "first")
	verdict, _ := l.Arrive(now, Ask{Kind: "k", Left: 700 * time.Millisecond, Aim: 700 * time.Millisecond}, "second")
	require.Equal(t, Wait, verdict)
	l.Done(Ask{Kind: "k"}, 690*time.Millisecond, true)
	v, expired, ok := l.Next(now.Add(690 * time.Millisecond))
	require.True(t, ok)
	require.True(t, expired)
	require.Equal(t, "second", v)
	running, waiting, _ := l.State()
	require.Zero(t, running+waiting)
}

func TestRequestThatLeavesFreesItsPlace(t *testing.T) {
	l := New[string](1)
	l.Arrive(begin(), Ask{Kind: "k", Left: time.Second, Aim: time.Second}, "a")
	l.Arrive(begin(), Ask{Kind: "k", Left: time.Second, Aim: time.Second}, "b")
	require.True(t, l.Leave(func(v string) bool { return v == "b" }))
	require.False(t, l.Leave(func(v string) bool { return v == "b" }))
}

// A wave of short calls, several hundred at once: each refused one would waste
// the whole request above it, although all of them fit into the time they have.
func TestAWaveOfCallsWaitsAsLongAsItsTimeAllows(t *testing.T) {
	const slots, work = 50, 15 * time.Millisecond
	l := New[int](slots)
	now := begin()
	ask := Ask{Call: true, Kind: "call", Left: 700 * time.Millisecond, Aim: 700 * time.Millisecond}
	l.Arrive(now, ask, 0)
	l.Done(ask, work, true)
	refused := 0
	for i := range 1500 { // 450 ms of work
		if verdict, _ := l.Arrive(now, ask, i); verdict == Refuse {
			refused++
		}
	}
	require.Zero(t, refused)
	for i := range 2000 { // far more than fits
		if verdict, _ := l.Arrive(now, ask, i); verdict == Refuse {
			refused++
		}
	}
	require.Positive(t, refused)
}

// Calls alone would fill the server; new work that begins at it waits as well.
func TestNewWorkGetsItsShareWhileCallsWait(t *testing.T) {
	const work = 50 * time.Millisecond
	now := begin()
	l := New[string](1)
	ask := func(kind string) Ask {
		return Ask{Call: kind == "call", Kind: kind, Left: time.Minute, Aim: time.Minute}
	}
	for _, kind := range []string{"new", "call"} {
		_, _ = l.Arrive(now, ask(kind), kind)
		l.Done(ask(kind), work, true)
	}
	_, _ = l.Arrive(now, ask("call"), "call")
	running := "call"
	for range 5 {
		_, _ = l.Arrive(now, ask("call"), "call")
		_, _ = l.Arrive(now, ask("new"), "new")
	}
	ran := map[string]int{}
	for range 400 {
		l.Done(ask(running), work, true)
		next, expired, ok := l.Next(now)
		require.True(t, ok)
		require.False(t, expired)
		ran[next]++
		running = next
		verdict, _ := l.Arrive(now, ask(next), next)
		require.Equal(t, Wait, verdict)
	}
	require.InDelta(t, newShare, float64(ran["new"])/400, 0.02)
}

func TestCallsOfImportantWorkGoFirst(t *testing.T) {
	now := time.Unix(100, 0)
	l := New[string](1)
	ask := func(rank int) Ask {
		return Ask{Call: true, Rank: rank, Kind: "call", Left: time.Minute, Aim: time.Minute}
	}
	_, _ = l.Arrive(now, ask(1), "running")
	_, _ = l.Arrive(now, ask(2), "usual")
	_, _ = l.Arrive(now, ask(1), "important")
	l.Done(ask(1), time.Millisecond, true)
	next, _, _ := l.Next(now)
	require.Equal(t, "important", next)
}
