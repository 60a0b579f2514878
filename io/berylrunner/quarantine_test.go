package berylrunner_test

import (
	"testing"
	"time"

	"berylspan/core/berylattempt"
	"berylspan/core/berylheadernames"
	"berylspan/core/berylregistration"
	"berylspan/io/berylreply"
	"berylspan/io/berylrequest"
	"berylspan/io/berylrunner"

	"github.com/stretchr/testify/require"
)

// startTrialRunner returns a runner whose suspects are the requests of the given rule, and its
// server.
func startTrialRunner(t *testing.T, rule string, wait time.Duration) (*berylrunner.Runner, *holdingServer) {
	t.Helper()
	s := startHoldingServer(t)
	entry := berylregistration.Registration{ID: "i-1", Service: "s", Slots: 20, Born: 1}
	return berylrunner.New(s.Listener.Addr().String(), berylheadernames.Default(), func() (berylregistration.Registration, bool) { return entry, true },
		berylrunner.CheckSuspect(func(r *berylrequest.Request) (bool, time.Duration) { return r.Rule == rule, wait })), s
}

func TestSuspectRunsAsATrialOnly(t *testing.T) {
	for _, tc := range []struct {
		name   string
		rule   string
		trial  bool
		wait   time.Duration
		refuse bool
	}{
		{name: "not a suspect", rule: "plain"},
		{name: "from an instance that does not know", rule: "suspect", refuse: true},
		{name: "as a trial", rule: "suspect", trial: true},
		{name: "as a trial before one is possible", rule: "suspect", trial: true, wait: time.Second, refuse: true},
		{name: "as a trial that this instance does not know to be one", rule: "plain", trial: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r, s := startTrialRunner(t, "suspect", tc.wait)
			req := newRequest(1, tc.rule, false)
			req.Trial = tc.trial
			reply := r.Run(t.Context(), req)
			require.Zero(t, r.Busy())
			if !tc.refuse {
				require.Equal(t, berylattempt.Answered, reply.Outcome)
				return
			}
			require.Equal(t, berylattempt.Unsent, reply.Outcome)
			require.Equal(t, berylreply.ReasonQuarantined, reply.Reason)
			require.Equal(t, tc.wait, reply.RetryAfter)
			require.Zero(t, s.arrived.Load())
		})
	}
}

func TestOneTrialAtATime(t *testing.T) {
	r, s := startTrialRunner(t, "suspect", 0)
	trial := func(id int, rule string) *berylreply.Reply {
		req := newRequest(id, rule, false)
		req.Trial = true
		return r.Run(t.Context(), req)
	}
	first := make(chan *berylreply.Reply)
	go func() { first <- trial(1, "suspect") }()
	require.Eventually(t, func() bool { return s.arrived.Load() == 1 }, time.Second, time.Millisecond)
	require.Equal(t, berylreply.ReasonQuarantined, trial(2, "suspect").Reason)
	require.Equal(t, berylattempt.Answered, r.Run(t.Context(), newRequest(3, "plain", false)).Outcome)
	require.Equal(t, berylattempt.Answered, (<-first).Outcome)
	require.Equal(t, berylattempt.Answered, trial(4, "suspect").Outcome)
	long := trial(7, "long")
	require.Equal(t, berylattempt.Answered, long.Outcome)
	require.Equal(t, berylattempt.Answered, trial(8, "suspect").Outcome, "the answer to the other one has begun")
	long.Close()
	require.Equal(t, berylreply.ReasonConnectionBroken, trial(5, "lost").Reason)
	require.Eventually(t, func() bool { return trial(6, "suspect").Outcome == berylattempt.Answered }, 3*time.Second, 10*time.Millisecond, "the lost trial is over")
}
