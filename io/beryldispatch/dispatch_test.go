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

func unknown(left int) *beryloutcome.Outcome {
	return beryloutcome.Refuse(berylrefusal.NewMaybeRun(berylrefusal.Backend, connect.CodeUnavailable, "lost"), left)
}

func notRun(reason string) func(int) *beryloutcome.Outcome {
	return func(left int) *beryloutcome.Outcome {
		return beryloutcome.Refuse(berylrefusal.NewNotRun(reason, connect.CodeUnavailable, "no"), left)
	}
}

func answered(left int) *beryloutcome.Outcome { return &beryloutcome.Outcome{RetriesLeft: left} }

func TestSendRetriesOnlyWhatKeepsThePromises(t *testing.T) {
	scenarios := []struct {
		name       string
		idempotent bool
		left       int
		ends       []func(left int) *beryloutcome.Outcome
		attempts   int
		run        string
	}{
		{"an answer needs one attempt", true, 3, []func(int) *beryloutcome.Outcome{answered}, 1, ""},
		{"an idempotent call is sent again when its answer is lost", true, 3, []func(int) *beryloutcome.Outcome{unknown, answered}, 2, ""},
		{"another call is not", false, 3, []func(int) *beryloutcome.Outcome{unknown, answered}, 1, berylrefusal.Unknown},
		{"but it is when it certainly did not run", false, 3, []func(int) *beryloutcome.Outcome{notRun(berylrefusal.Backend), answered}, 2, ""},
		{"a refusal is unknown when an attempt before it may have run", true, 3, []func(int) *beryloutcome.Outcome{unknown, notRun(berylrefusal.Overload), notRun(berylrefusal.Deadline)}, 3, berylrefusal.Unknown},
		{"the allowance bounds the attempts", true, 1, []func(int) *beryloutcome.Outcome{notRun(berylrefusal.Backend), notRun(berylrefusal.Backend), answered}, 2, berylrefusal.NotRun},
		{"finding the place of a leaving instance costs no retry", false, 0, []func(int) *beryloutcome.Outcome{notRun(berylrefusal.Leaving), answered}, 2, ""},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			attempts := 0
			end := func(_ context.Context, c *berylcall.Call, _ *berylexchange.Exchange) *beryloutcome.Outcome {
				attempts++
				return s.ends[attempts-1](c.RetriesLeft)
			}
			guard := berylinvariant.New()
			d := New(berylinstance.Instance{ID: "self", Zone: "z"}, berylpolicy.Full(), berylloads.New(), guard, Local(end),
				Remote(func(ctx context.Context, _ berylinstance.Instance, c *berylcall.Call, x *berylexchange.Exchange) *beryloutcome.Outcome {
					return end(ctx, c, x)
				}))
			var list []berylinstance.Instance
			for _, id := range []string{"a", "b", "c", "d"} {
				list = append(list, berylinstance.Instance{ID: id, Service: "s", Zone: "z"})
			}
			c := &berylcall.Call{ID: "1", Route: &berylroute.Route{Service: "s", Idempotent: s.idempotent}, RetriesLeft: s.left}
			out := d.Send(context.Background(), berylsnapshot.New(nil, list), c, &berylexchange.Exchange{})
			require.Equal(t, s.attempts, attempts)
			require.Zero(t, guard.Total())
			if s.run == "" {
				require.Nil(t, out.Refusal)
				return
			}
			require.Equal(t, s.run, out.Refusal.RunStatus())
		})
	}
}
