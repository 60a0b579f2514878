package berylgate_test

import (
	"container/heap"
	"testing"
	"time"

	"berylspan/core/berylgate"
	"berylspan/core/berylline"
	"berylspan/core/berylthrottle"

	"github.com/stretchr/testify/require"
)

// event is something that happens at a time of the replay.
type event struct {
	at  time.Time
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || (e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(v any)   { *e = append(*e, v.(event)) }
func (e *events) Pop() any     { o := *e; v := o[len(o)-1]; *e = o[:len(o)-1]; return v }

// chain replays requests that run on a front server and make calls, one after
// the other, to a deep one that everything leads to.
type chain struct {
	now      time.Time
	queue    events
	seq      int
	deep     *berylline.Line[func(ok bool)]
	throttle *berylthrottle.Throttle
	gate     *berylgate.Gate // nil without

	served, refused, failed, wasted int // wasted: calls run for requests that failed
}

const (
	deepSlots = 10
	deepWork  = 25 * time.Millisecond // 400 calls a second fit
	callsEach = 4
	limit     = 300 * time.Millisecond // for a request, from its arrival
	frontWork = 20 * time.Millisecond
)

func (c *chain) after(d time.Duration, do func()) {
	c.seq++
	heap.Push(&c.queue, event{c.now.Add(d), c.seq, do})
}

// call runs one nested call on the deep server.
func (c *chain) call(left time.Duration, done func(ok bool)) {
	ask := berylline.Ask{Call: true, Kind: "call", Left: left, Aim: left}
	c.throttle.Offer(c.now, c.deep.Hold("call").Seconds(), deepSlots)
	run := func(ok bool) {
		if !ok {
			done(false)
			return
		}
		c.after(deepWork, func() {
			c.deep.Done(ask, deepWork, true)
			for {
				next, expired, more := c.deep.Next(c.now)
				if !more {
					break
				}
				next(!expired)
			}
			done(true)
		})
	}
	switch verdict, _ := c.deep.Arrive(c.now, ask, run); verdict {
	case berylline.Start:
		run(true)
	case berylline.Refuse:
		done(false)
	}
}

func (c *chain) request() {
	if c.gate != nil && !c.gate.Admit(c.now, "root", 0, false) {
		c.refused++
		return
	}
	end := c.now.Add(limit)
	var step func(n int)
	step = func(n int) {
		if n == callsEach {
			c.served++
			return
		}
		c.call(end.Sub(c.now), func(ok bool) {
			if c.gate != nil {
				c.gate.Report(c.now, "root", c.throttle.Open(c.now))
			}
			if !ok || c.now.After(end) {
				c.failed++
				c.wasted += n
				return
			}
			step(n + 1)
		})
	}
	c.after(frontWork, func() { step(0) })
}

// play offers perSecond requests a second for ten seconds.
func play(perSecond int, gated bool) *chain {
	c := &chain{now: time.Unix(1_000, 0), deep: berylline.New[func(bool)](deepSlots), throttle: berylthrottle.New()}
	if gated {
		c.gate = berylgate.New()
	}
	for i := range perSecond * 10 {
		c.after(time.Duration(i)*time.Second/time.Duration(perSecond), c.request)
	}
	for len(c.queue) > 0 {
		e := heap.Pop(&c.queue).(event)
		c.now = e.at
		e.do()
	}
	return c
}

// The deep service can take 100 requests a second and is offered 200. Without
// the gate requests fail in the depth after their first calls have run; with it
// most of them are refused where they begin.
func TestDeepServiceOverloaded(t *testing.T) {
	without, with := play(200, false), play(200, true)
	t.Logf("without: served %d, failed %d, wasted calls %d", without.served, without.failed, without.wasted)
	t.Logf("with:    served %d, refused %d, failed %d, wasted calls %d", with.served, with.refused, with.failed, with.wasted)
	require.Greater(t, with.served, without.served)
	require.GreaterOrEqual(t, with.served, 1000*7/10, "of what the deep service can take")
	require.Less(t, with.failed, without.failed/4)
	require.Less(t, with.wasted, without.wasted/4)
}

func TestCalmDayIsNotGated(t *testing.T) {
	c := play(70, true)
	require.Equal(t, 700, c.served)
	require.Zero(t, c.refused)
}
