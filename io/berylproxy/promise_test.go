package berylproxy

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"

	"berylspan/core/berylattempt"
	"berylspan/io/berylhttpserver"
	"berylspan/io/berylreply"

	"github.com/stretchr/testify/require"
)

// Whatever its attempts come to, in whatever order, a request that may have run once is not sent
// again if it must not run twice, and its caller is not told that it did not run.
func TestNoPromiseForARequestThatMayHaveRun(t *testing.T) {
	failure := func(outcome berylattempt.Outcome, reason string) func() *berylreply.Reply {
		return func() *berylreply.Reply { return berylreply.NewFailure(outcome, reason) }
	}
	answer := func(status int) func() *berylreply.Reply {
		return func() *berylreply.Reply {
			return &berylreply.Reply{Outcome: berylattempt.Answered, Status: status, Header: http.Header{"Beryl-Receipt": {"x"}}}
		}
	}
	replies := []func() *berylreply.Reply{
		failure(berylattempt.Unsent, berylreply.ReasonQueueFull),
		failure(berylattempt.Unsent, berylreply.ReasonNoConnection),
		failure(berylattempt.Unsent, berylreply.ReasonWrongServer),
		failure(berylattempt.Unsent, berylreply.ReasonQuarantined),
		failure(berylattempt.Unsent, berylreply.ReasonExpired),
		failure(berylattempt.Unsent, berylreply.ReasonShuttingDown),
		failure(berylattempt.Unsent, berylreply.ReasonShedding),
		failure(berylattempt.Unsent, berylreply.ReasonEvacuated),
		failure(berylattempt.Rejected, berylreply.ReasonRejected),
		failure(berylattempt.Rejected, berylreply.ReasonWrongServer),
		failure(berylattempt.Unknown, berylreply.ReasonConnectionBroken),
		failure(berylattempt.Unknown, berylreply.ReasonMalformed),
		failure(berylattempt.Unknown, berylreply.ReasonNoID),
		failure(berylattempt.Unknown, berylreply.ReasonPanic),
		failure(berylattempt.Unknown, berylreply.ReasonCanceled),
		answer(http.StatusOK), answer(http.StatusInternalServerError), answer(http.StatusServiceUnavailable), answer(http.StatusTooManyRequests),
	}
	ends := []struct {
		name string
		end  func(cancel context.CancelCauseFunc)
	}{
		{"goes on", func(context.CancelCauseFunc) {}},
		{"instance stops", func(cancel context.CancelCauseFunc) { cancel(berylhttpserver.ErrStopping) }},
		{"caller leaves", func(cancel context.CancelCauseFunc) { cancel(context.Canceled) }},
	}
	const maxAttempts = 3 // of those that differ; the last one is repeated
	for _, shedding := range []uint8{0, 55} {
		for _, upload := range []bool{false, true} {
			for _, end := range ends {
				t.Run(fmt.Sprintf("%s/shedding %d/upload %v", end.name, shedding, upload), func(t *testing.T) {
					n := 0
					var sequences [][]int
					extend := func(sequence []int) {
						for i := range replies {
							sequences = append(sequences, append(slices.Clone(sequence), i))
						}
					}
					for extend(nil); len(sequences) > 0; n++ {
						sequence := sequences[0]
						sequences = sequences[1:]
						var got []*berylreply.Reply
						more := false // whether a further attempt was made
						ctx, cancel := context.WithCancelCause(context.Background())
						p := newSheddingProxy(shedding, func(string) *berylreply.Reply {
							more = more || len(got) == len(sequence)
							reply := replies[sequence[min(len(got), len(sequence)-1)]]()
							if got = append(got, reply); len(got) == 2 {
								end.end(cancel)
							}
							return reply
						})
						r := newRequest(p)
						if upload {
							r.Stream, r.Length, r.Hold = strings.NewReader("body"), -1, func(int64) bool { return true }
						}
						a := p.Serve(ctx, r)
						cancel(nil)
						if more && len(sequence) < maxAttempts {
							extend(sequence)
						}
						requireNoFalsePromise(t, got, a)
					}
					t.Logf("%d sequences", n)
				})
			}
		}
	}
}

func requireNoFalsePromise(t *testing.T, got []*berylreply.Reply, a *berylhttpserver.Answer) {
	t.Helper()
	var outcomes []string
	for _, reply := range got {
		outcomes = append(outcomes, fmt.Sprintf("%s %s %d", reply.Outcome, reply.Reason, reply.Status))
	}
	for i, reply := range got {
		if reply.Outcome != berylattempt.Answered && reply.Outcome != berylattempt.Unknown {
			continue
		}
		require.Equal(t, len(got)-1, i, "it was sent again: %s", outcomes)
		if reply.Outcome == berylattempt.Answered {
			require.Equal(t, reply.Status, a.Status, "%s", outcomes)
			return
		}
		require.True(t, a.Abort || a.Status == http.StatusBadGateway || a.Status == http.StatusGatewayTimeout, "status %d after %s", a.Status, outcomes)
		return
	}
	require.True(t, a.Abort || a.Status == http.StatusServiceUnavailable, "status %d after %s", a.Status, outcomes)
}
