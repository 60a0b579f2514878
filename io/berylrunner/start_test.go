package berylrunner_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"berylspan/core/berylattempt"
	"berylspan/core/berylheadernames"
	"berylspan/core/berylregistration"
	"berylspan/io/berylreply"
	"berylspan/io/berylrunner"

	"github.com/stretchr/testify/require"
)

// published is what a runner sees of its server.
type published struct {
	mu        sync.Mutex
	gone      bool
	entry     berylregistration.Registration
	evacuated bool
}

func (p *published) get() (berylregistration.Registration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.gone {
		return berylregistration.Registration{}, false
	}
	return p.entry, true
}

func (p *published) isListed(string) bool { _, ok := p.get(); return ok }

func (p *published) isEvacuated() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.evacuated
}

func (p *published) change(f func(p *published)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(p)
}

// startFullRunner returns a runner whose server runs the one request that it has room for, and the
// reply that a second one gets, which waits. The first ends after holdTime.
func startFullRunner(ctx context.Context, t *testing.T, p *published) (*berylrunner.Runner, *holdingServer, <-chan *berylreply.Reply) {
	t.Helper()
	s := startHoldingServer(t)
	p.entry = berylregistration.Registration{ID: "i-1", Service: "s", Slots: 1, Born: 1}
	r := berylrunner.New(s.Listener.Addr().String(), berylheadernames.Default(), p.get, berylrunner.Evacuated(p.isEvacuated), berylrunner.IsListed(p.isListed))
	go r.Run(t.Context(), newRequest(1, "plain", true))
	require.Eventually(t, func() bool { return s.arrived.Load() == 1 }, time.Second, time.Millisecond)
	second := make(chan *berylreply.Reply, 1)
	go func() { second <- r.Run(ctx, newRequest(2, "plain", true)) }()
	require.Eventually(t, func() bool { return r.Busy() == 2 }, time.Second, time.Millisecond)
	return r, s, second
}

// A request that waited was started whatever had happened to its server meanwhile.
func TestQueuedRequestStartsAtServerThatMayRunNothing(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(p *published)
		reason string
	}{
		{"leaving", func(p *published) { p.entry.Leaving = true }, berylreply.ReasonServerLeaving},
		{"evacuated", func(p *published) { p.evacuated = true }, berylreply.ReasonEvacuated},
		{"gone", func(p *published) { p.gone = true }, berylreply.ReasonWrongServer},
		{"another one", func(p *published) { p.entry.ID, p.entry.Born = "i-2", 2 }, berylreply.ReasonWrongServer},
		{"of another service", func(p *published) { p.entry.Service = "other" }, berylreply.ReasonWrongServer},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := &published{}
			r, s, second := startFullRunner(t.Context(), t, p)
			p.change(tc.change)
			reply := <-second
			require.Equal(t, berylattempt.Unsent, reply.Outcome)
			require.Equal(t, tc.reason, reply.Reason)
			require.Equal(t, int32(1), s.arrived.Load())
			require.Eventually(t, func() bool { return r.Busy() == 0 }, time.Second, time.Millisecond, "no slot is kept")
		})
	}
}

func TestQueuedRequestsReturnAsSoonAsTheListChanges(t *testing.T) {
	for name, change := range map[string]func(p *published){
		"leaving":   func(p *published) { p.entry.Leaving = true },
		"evacuated": func(p *published) { p.evacuated = true },
		"gone":      func(p *published) { p.gone = true },
	} {
		t.Run(name, func(t *testing.T) {
			p := &published{}
			r, s, second := startFullRunner(t.Context(), t, p)
			r.ListChanged()
			require.Equal(t, 2, r.Busy(), "nothing that matters has changed")
			p.change(change)
			r.ListChanged()
			select {
			case reply := <-second:
				require.Equal(t, berylattempt.Unsent, reply.Outcome)
			case <-time.After(holdTime / 2):
				require.Fail(t, "it waits for a slot")
			}
			require.Equal(t, 1, r.Busy(), "the other one still runs")
			require.Equal(t, int32(1), s.arrived.Load())
		})
	}
}

func TestQueuedRequestOfSenderThatLeftIsNotStarted(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	r, s, second := startFullRunner(ctx, t, &published{})
	cancel()
	require.Equal(t, berylattempt.Unsent, (<-second).Outcome)
	require.Eventually(t, func() bool { return r.Busy() == 0 }, time.Second, time.Millisecond)
	require.Equal(t, int32(1), s.arrived.Load())
}

// Guards against requests that wait until the stop of their instance is over.
func TestQueuedRequestWaitsForTheEndOfStop(t *testing.T) {
	r, s, second := startFullRunner(t.Context(), t, &published{})
	r.ReturnWaiting()
	reply := <-second
	require.Equal(t, berylattempt.Unsent, reply.Outcome)
	require.Equal(t, berylreply.ReasonShuttingDown, reply.Reason)
	require.Equal(t, int32(1), s.arrived.Load())
}

// Guards against requests that are started although the instance stops before they end.
func TestRequestThatOutlastsStopIsStarted(t *testing.T) {
	p := &published{}
	r, s, second := startFullRunner(t.Context(), t, p)
	require.Equal(t, berylattempt.Answered, (<-second).Outcome)
	r.StopAt(time.Now().Add(holdTime / 2)) // Such requests take holdTime.
	reply := r.Run(t.Context(), newRequest(3, "plain", true))
	require.Equal(t, berylattempt.Unsent, reply.Outcome)
	require.Equal(t, berylreply.ReasonShuttingDown, reply.Reason)
	require.Equal(t, int32(2), s.arrived.Load())
}
