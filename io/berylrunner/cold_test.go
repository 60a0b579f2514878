package berylrunner_test

import (
	"testing"
	"time"

	"berylspan/core/berylattempt"
	"berylspan/core/berylcoldstart"
	"berylspan/core/berylheadernames"
	"berylspan/core/berylregistration"
	"berylspan/io/berylreply"
	"berylspan/io/berylrunner"

	"github.com/stretchr/testify/require"
)

func TestColdServerGetsNoMoreThanItTolerates(t *testing.T) {
	for _, tc := range []struct {
		name       string
		config     bool    // the daemon knows a configuration
		senderRate float64 // that requests tell
		warm       time.Duration
		limit      int // of 10 requests, one after the other
	}{
		{name: "cold according to its entry", config: true, warm: time.Minute, limit: 4},
		{name: "beside a daemon that has just started", config: true, limit: 4},
		{name: "beside a daemon that knows no configuration", senderRate: 3, limit: 3},
		{name: "of a service without a limit", warm: time.Minute, limit: 10},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := startHoldingServer(t)
			entry := berylregistration.Registration{ID: "i-1", Service: "s", Slots: 20, Born: 1, Warm: tc.warm}.ReadAt(time.Now())
			r := berylrunner.New(s.Listener.Addr().String(), berylheadernames.Default(), func() (berylregistration.Registration, bool) { return entry, true },
				berylrunner.ColdStart(func() (berylcoldstart.ColdStart, bool) {
					return berylcoldstart.ColdStart{PerSecond: 4, Duration: 3 * time.Second}, tc.config
				}))
			replies := make(chan *berylreply.Reply)
			for i := range 10 {
				req := newRequest(i, "plain", false)
				req.ColdPerSecond = tc.senderRate
				go func() { replies <- r.Run(t.Context(), req) }()
			}
			answered := 0
			for range 10 {
				reply := <-replies
				if reply.Outcome == berylattempt.Answered {
					answered++
					continue
				}
				require.Equal(t, berylattempt.Unsent, reply.Outcome)
				require.Equal(t, berylreply.ReasonCold, reply.Reason)
				require.Positive(t, reply.RetryAfter)
			}
			require.Equal(t, tc.limit, answered)
			require.EqualValues(t, tc.limit, s.arrived.Load())
		})
	}
}
