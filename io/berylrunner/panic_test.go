package berylrunner_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"berylspan/core/berylattempt"
	"berylspan/core/berylheadernames"
	"berylspan/core/berylregistration"
	"berylspan/io/berylpanic"
	"berylspan/io/berylrunner"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

type panicReader struct{}

func (panicReader) Read([]byte) (int, error) { panic("read") }

// Requests whose body or deadline handling panics must not keep their slots, or the
// instance would refuse everything after a few of them.
func TestPanicReleasesSlot(t *testing.T) {
	n := berylheadernames.Default()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(n.RequestID, r.Header.Get(n.RequestID))
		w.Header().Set(n.ResponseSignature, "x")
	}))
	t.Cleanup(srv.Close)
	entry := berylregistration.Registration{ID: "i-1", Service: "s", Slots: 2, Born: 1}
	var panics atomic.Int32
	guard := berylpanic.New(zerolog.Nop(), berylpanic.OnPanic(func(string) { panics.Add(1) }))
	r := berylrunner.New(srv.Listener.Addr().String(), n, func() (berylregistration.Registration, bool) { return entry, true }, berylrunner.Guard(guard.Run))
	for i := range 5 {
		req := newRequest(i, "body", false)
		req.Stream, req.Length = panicReader{}, 100
		reply := r.Run(context.Background(), req)
		require.Equal(t, berylattempt.Unknown, reply.Outcome, "it may have run")
	}
	require.Eventually(t, func() bool { return panics.Load() == 5 }, time.Second, time.Millisecond)
	require.Eventually(t, func() bool { return r.Busy() == 0 }, time.Second, time.Millisecond)
	require.Equal(t, berylattempt.Answered, r.Run(context.Background(), newRequest(9, "ok", false)).Outcome)
}
