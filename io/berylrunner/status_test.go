package berylrunner_test

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"berylspan/core/berylattempt"
	"berylspan/core/berylheadernames"
	"berylspan/core/berylregistration"
	"berylspan/io/berylreply"
	"berylspan/io/berylrequest"
	"berylspan/io/berylrunner"

	"github.com/stretchr/testify/require"
)

// A daemon that read the last answer of a leaving server late kept requests from the server that took its place.
func TestLateAnswerOfFormerServerMarksItsSuccessorAsLeaving(t *testing.T) {
	n := berylheadernames.Default()
	arrived, release := make(chan struct{}), make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(n.RequestID, r.Header.Get(n.RequestID))
		w.Header().Set(n.ResponseSignature, "x")
		if r.URL.Path == "/former" {
			close(arrived)
			<-release
			w.Header().Set(n.ServerLeaving, "1")
			w.Header().Set(n.ServerLimit, "1")
		}
	}))
	t.Cleanup(srv.Close)
	var entry atomic.Pointer[berylregistration.Registration]
	entry.Store(&berylregistration.Registration{ID: "i-1", Service: "s", Slots: 20, Born: 1})
	runner := berylrunner.New(srv.Listener.Addr().String(), n, func() (berylregistration.Registration, bool) { return *entry.Load(), true })
	run := func(r *berylrequest.Request) *berylreply.Reply { return runner.Run(t.Context(), r) }

	ended := make(chan *berylreply.Reply)
	go func() { ended <- run(newRequest(1, "former", false)) }()
	<-arrived
	entry.Store(&berylregistration.Registration{ID: "i-2", Service: "s", Slots: 20, Born: 2})
	toSuccessor := func(id int) *berylrequest.Request {
		r := newRequest(id, "plain", false)
		r.ServerID, r.ServerStartMs = "i-2", 2
		return r
	}
	require.Equal(t, berylattempt.Answered, run(toSuccessor(2)).Outcome)
	close(release)
	require.Equal(t, berylattempt.Answered, (<-ended).Outcome)
	require.Equal(t, berylattempt.Answered, run(toSuccessor(3)).Outcome)
	status := runner.ServerStatus()
	require.False(t, status.Leaving)
	require.False(t, status.Limited)
}
