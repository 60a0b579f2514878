package beryldaemon

import (
	"context"
	"testing"
	"time"

	"berylspan/io/berylfakebackend"

	"github.com/stretchr/testify/require"
)

// A panic in a control loop ended the process and cut off all calls. It must lead to a
// graceful stop instead.
func TestPanicInControlLoopLeadsToGracefulStop(t *testing.T) {
	f := newFixture(t, nil, func(string) berylfakebackend.Work { return berylfakebackend.Work{} }, pair...)
	f.add("s-1", "s")
	f.start()
	d := f.nodes[0].daemon
	select {
	case <-d.Failed():
		t.Fatal("failed before the panic")
	default:
	}
	var state map[string]int
	d.loops.Go(func() { d.runLoop("shard owner", func() { state["a"] = 1 }) })
	select {
	case <-d.Failed():
	case <-time.After(2 * time.Second):
		t.Fatal("the panic was not reported within 2 s")
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	require.NoError(t, d.Stop(ctx))
	f.nodes[0].daemon = nil
}
