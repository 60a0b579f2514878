package beryladmission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func startTime() time.Time { return time.Unix(1_000, 0) }

func TestNestedCallsRunBeforeNewWork(t *testing.T) {
	c := New[string](1)
	now := startTime()
	decision, _ := c.Arrive(now, Request{Kind: "root", TimeToDeadline: time.Second, TimeToTarget: time.Second}, "running")
	require.Equal(t, Start, decision)
	c.Done(Request{Kind: "root"}, 10*time.Millisecond, true)
	decision, _ = c.Arrive(now, Request{Kind: "root", TimeToDeadline: time.Second, TimeToTarget: time.Second}, "running")
	require.Equal(t, Start, decision)
	for _, tc := range []struct {
		name    string
		request Request
	}{
		{"less urgent", Request{Kind: "root", Rank: 2, TimeToDeadline: time.Second, TimeToTarget: time.Second}},
		{"urgent", Request{Kind: "root", Rank: 0, TimeToDeadline: time.Second, TimeToTarget: time.Second}},
		{"late", Request{Kind: "root", Rank: 0, TimeToDeadline: time.Second}},
		{"call", Request{Kind: "call", Nested: true, TimeToDeadline: time.Second, TimeToTarget: time.Second}},
	} {
		decision, _ = c.Arrive(now, tc.request, tc.name)
		require.Equal(t, Wait, decision, tc.name)
	}
	var order []string
	for range 4 {
		c.Done(Request{Kind: "root"}, 10*time.Millisecond, true)
		v, expired, ok := c.Next(now)
		require.True(t, ok)
		require.False(t, expired)
		order = append(order, v)
	}
	require.Equal(t, []string{"call", "urgent", "less urgent", "late"}, order)
}

// A burst of three times the capacity, queued in order of arrival, would make
// every request miss its target latency. Requests that cannot meet it must be
// refused on arrival, and all that are queued must be served in time.
func TestExcessOfBurstIsRefusedOnArrivalAndNoneExpires(t *testing.T) {
	const (
		slots       = 4
		serviceTime = 100 * time.Millisecond
		target      = 400 * time.Millisecond
	)
	c := New[int](slots)
	now := startTime()
	type run struct {
		id  int
		end time.Time
	}
	var running []run
	arrived := map[int]time.Time{}
	refused, late, served := 0, 0, 0
	request := Request{Kind: "k", TimeToDeadline: 5 * time.Second, TimeToTarget: target}
	advance := func(to time.Time) {
		for len(running) > 0 && !running[0].end.After(to) {
			r := running[0]
			running = running[1:]
			c.Done(request, serviceTime, true)
			served++
			if r.end.Sub(arrived[r.id]) > target {
				late++
			}
			for {
				v, expired, ok := c.Next(r.end)
				if !ok {
					break
				}
				require.False(t, expired, "request expired in the queue")
				running = append(running, run{v, r.end.Add(serviceTime)})
			}
		}
	}
	for i := range 240 { // 120 per second for 2 s, three times the capacity
		now = startTime().Add(time.Duration(i) * time.Second / 120)
		advance(now)
		arrived[i] = now
		switch decision, _ := c.Arrive(now, request, i); decision {
		case Start:
			running = append(running, run{i, now.Add(serviceTime)})
		case Refuse:
			refused++
		}
	}
	advance(now.Add(time.Minute))
	require.Zero(t, late, "requests served after the target latency")
	require.Equal(t, 240, refused+served)
	require.GreaterOrEqual(t, served, 80, "less than the capacity of 2 s was used")
}

func TestRequestThatCannotFinishIsNotStarted(t *testing.T) {
	c := New[string](1)
	now := startTime()
	c.Arrive(now, Request{Kind: "k", TimeToDeadline: time.Second, TimeToTarget: time.Second}, "first")
	c.Done(Request{Kind: "k"}, 200*time.Millisecond, true)
	c.Arrive(now, Request{Kind: "k", TimeToDeadline: time.Second, TimeToTarget: time.Second}, "first")
	decision, _ := c.Arrive(now, Request{Kind: "k", TimeToDeadline: 700 * time.Millisecond, TimeToTarget: 700 * time.Millisecond}, "second")
	require.Equal(t, Wait, decision)
	c.Done(Request{Kind: "k"}, 690*time.Millisecond, true)
	v, expired, ok := c.Next(now.Add(690 * time.Millisecond))
	require.True(t, ok)
	require.True(t, expired)
	require.Equal(t, "second", v)
	running, waiting, _ := c.State()
	require.Zero(t, running+waiting)
}

func TestRemoveTakesRequestOutOfQueue(t *testing.T) {
	c := New[string](1)
	c.Arrive(startTime(), Request{Kind: "k", TimeToDeadline: time.Second, TimeToTarget: time.Second}, "a")
	c.Arrive(startTime(), Request{Kind: "k", TimeToDeadline: time.Second, TimeToTarget: time.Second}, "b")
	require.True(t, c.Remove(func(v string) bool { return v == "b" }))
	require.False(t, c.Remove(func(v string) bool { return v == "b" }))
}

// Several hundred short nested calls arrive at once. Refusing one of them wastes
// the work already done for its parent request, so all that can finish before
// their deadline must be queued.
func TestBurstOfNestedCallsWaitsAsLongAsDeadlinesAllow(t *testing.T) {
	const slots, serviceTime = 50, 15 * time.Millisecond
	c := New[int](slots)
	now := startTime()
	request := Request{Nested: true, Kind: "call", TimeToDeadline: 700 * time.Millisecond, TimeToTarget: 700 * time.Millisecond}
	c.Arrive(now, request, 0)
	c.Done(request, serviceTime, true)
	refused := 0
	for i := range 1500 { // 450 ms of work
		if decision, _ := c.Arrive(now, request, i); decision == Refuse {
			refused++
		}
	}
	require.Zero(t, refused)
	for i := range 2000 { // far more than can finish in time
		if decision, _ := c.Arrive(now, request, i); decision == Refuse {
			refused++
		}
	}
	require.Positive(t, refused)
}

// Nested calls alone could use all slots of the backend server and starve the new
// work that arrives at the same server.
func TestNewWorkGetsItsShareWhileNestedCallsWait(t *testing.T) {
	const serviceTime = 50 * time.Millisecond
	now := startTime()
	c := New[string](1)
	newRequest := func(kind string) Request {
		return Request{Nested: kind == "call", Kind: kind, TimeToDeadline: time.Minute, TimeToTarget: time.Minute}
	}
	for _, kind := range []string{"new", "call"} {
		_, _ = c.Arrive(now, newRequest(kind), kind)
		c.Done(newRequest(kind), serviceTime, true)
	}
	_, _ = c.Arrive(now, newRequest("call"), "call")
	running := "call"
	for range 5 {
		_, _ = c.Arrive(now, newRequest("call"), "call")
		_, _ = c.Arrive(now, newRequest("new"), "new")
	}
	ran := map[string]int{}
	for range 400 {
		c.Done(newRequest(running), serviceTime, true)
		next, expired, ok := c.Next(now)
		require.True(t, ok)
		require.False(t, expired)
		ran[next]++
		running = next
		decision, _ := c.Arrive(now, newRequest(next), next)
		require.Equal(t, Wait, decision)
	}
	require.InDelta(t, newWorkShare, float64(ran["new"])/400, 0.02)
}

func TestNestedCallsRunInOrderOfRank(t *testing.T) {
	now := time.Unix(100, 0)
	c := New[string](1)
	newRequest := func(rank int) Request {
		return Request{Nested: true, Rank: rank, Kind: "call", TimeToDeadline: time.Minute, TimeToTarget: time.Minute}
	}
	_, _ = c.Arrive(now, newRequest(1), "running")
	_, _ = c.Arrive(now, newRequest(2), "usual")
	_, _ = c.Arrive(now, newRequest(1), "important")
	c.Done(newRequest(1), time.Millisecond, true)
	next, _, _ := c.Next(now)
	require.Equal(t, "important", next)
}
