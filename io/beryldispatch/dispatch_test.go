package beryldispatch

import (
	"context"
	"testing"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	"berylspan/core/berylcall"
	"berylspan/core/berylexchange"
	"berylspan/core/berylinstance"
	"berylspan/core/berylinvariant"
	"berylspan/core/beryloutcome"
	"berylspan/core/berylpolicy"
	"berylspan/core/berylrefusal"
	"berylspan/core/berylroute"
	"berylspan/core/berylsnapshot"
	"berylspan/io/berylloads"
)

func maybeRun(retries int) *beryloutcome.Outcome {
	return beryloutcome.Refuse(berylrefusal.NewMaybeRun(berylrefusal.Backend, connect.CodeUnavailable, "lost"), retries)
}

func notRun(reason string) func(int) *beryloutcome.Outcome {
	return func(retries int) *beryloutcome.Outcome {
		return beryloutcome.Refuse(berylrefusal.NewNotRun(reason, connect.CodeUnavailable, "no"), retries)
	}
}

func answered(retries int) *beryloutcome.Outcome { return &beryloutcome.Outcome{RetriesLeft: retries} }

// Guards against running a non-idempotent call twice, reporting a call as not run that may
// have run, and retrying beyond the allowance.
func TestSendRetriesOnlyWhatKeepsThePromises(t *testing.T) {
	scenarios := []struct {
		name        string
		idempotent  bool
		retriesLeft int
		outcomes    []func(retriesLeft int) *beryloutcome.Outcome
		attempts    int
		runStatus   string
	}{
		{"a call that is answered is not retried", true, 3, []func(int) *beryloutcome.Outcome{answered}, 1, ""},
		{"an idempotent call is retried when its answer is lost", true, 3, []func(int) *beryloutcome.Outcome{maybeRun, answered}, 2, ""},
		{"a non-idempotent call is not retried when its answer is lost", false, 3, []func(int) *beryloutcome.Outcome{maybeRun, answered}, 1, berylrefusal.Unknown},
		{"a non-idempotent call is retried when it certainly did not run", false, 3, []func(int) *beryloutcome.Outcome{notRun(berylrefusal.Backend), answered}, 2, ""},
		{"the run status is unknown when an earlier attempt may have run", true, 3, []func(int) *beryloutcome.Outcome{maybeRun, notRun(berylrefusal.Overload), notRun(berylrefusal.Deadline)}, 3, berylrefusal.Unknown},
		{"the retry allowance limits the attempts", true, 1, []func(int) *beryloutcome.Outcome{notRun(berylrefusal.Backend), notRun(berylrefusal.Backend), answered}, 2, berylrefusal.NotRun},
		{"a reroute from a leaving instance uses no retry", false, 0, []func(int) *beryloutcome.Outcome{notRun(berylrefusal.Leaving), answered}, 2, ""},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			attempts := 0
			run := func(_ context.Context, c *berylcall.Call, _ *berylexchange.Exchange) *beryloutcome.Outcome {
				attempts++
				return s.outcomes[attempts-1](c.RetriesLeft)
			}
			guard := berylinvariant.New()
			d := New(berylinstance.Instance{ID: "self", Zone: "z"}, berylpolicy.Full(), berylloads.New(), guard, Local(run),
				Remote(func(ctx context.Context, _ berylinstance.Instance, c *berylcall.Call, x *berylexchange.Exchange) *beryloutcome.Outcome {
					return run(ctx, c, x)
				}))
			var instances []berylinstance.Instance
			for _, id := range []string{"a", "b", "c", "d"} {
				instances = append(instances, berylinstance.Instance{ID: id, Service: "s", Zone: "z"})
			}
			c := &berylcall.Call{ID: "1", Route: &berylroute.Route{Service: "s", Idempotent: s.idempotent}, RetriesLeft: s.retriesLeft}
			out := d.Send(context.Background(), berylsnapshot.New(nil, instances), c, &berylexchange.Exchange{})
			require.Equal(t, s.attempts, attempts)
			require.Zero(t, guard.Total())
			if s.runStatus == "" {
				require.Nil(t, out.Refusal)
				return
			}
			require.Equal(t, s.runStatus, out.Refusal.RunStatus())
		})
	}
}
