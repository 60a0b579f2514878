package berylmesh

import (
	"context"
	"net"
	"testing"

	"berylspan/core/berylattempt"
	"berylspan/core/berylheadernames"
	"berylspan/io/berylpanic"
	"berylspan/io/berylreply"
	"berylspan/io/berylrequest"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// After a panic the sender must not be told that its request did not run.
func TestPanicClosesConnectionAndLeavesOutcomeUnknown(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	panics := make(chan string, 1)
	guard := berylpanic.New(zerolog.Nop(), berylpanic.OnPanic(func(part string) { panics <- part }))
	m := New(berylheadernames.Default(), Guard(guard.Run))
	ctx, cancel := context.WithCancel(context.Background())
	s := m.NewServer(ln, func(_ context.Context, req *berylrequest.Request) *berylreply.Reply {
		if req.ID == "1" {
			panic("handler")
		}
		return &berylreply.Reply{Outcome: berylattempt.Answered, Status: 200}
	})
	done := make(chan struct{})
	go func() { s.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); s.Close(); <-done; m.Close() })
	require.Equal(t, berylattempt.Unknown, m.Send(ctx, ln.Addr().String(), newRequest("1")).Outcome)
	require.Equal(t, panicPart, <-panics)
	require.Equal(t, berylattempt.Answered, m.Send(ctx, ln.Addr().String(), newRequest("2")).Outcome)
}
