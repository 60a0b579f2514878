package beryldaemon

import (
	"context"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"berylspan/core/berylrefusal"
	"berylspan/io/berylfakebackend"
	"berylspan/io/berylheader"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"
)

// stopped stops the daemon of n and returns what Stop returned.
func (f *fixture) stopped(n *instance, drain time.Duration) <-chan error {
	d := n.daemon
	n.daemon = nil
	done := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), drain)
		defer cancel()
		done <- d.Stop(ctx)
	}()
	return done
}

// begun returns how many calls have begun at backend servers.
func (f *fixture) begun() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.ran)
}

// started makes a call at n and waits until count calls more have begun.
func (f *fixture) started(n *instance, path string, count int, opts ...connect.ClientOption) <-chan error {
	f.t.Helper()
	before := f.begun()
	done := make(chan error, count)
	for range count {
		go func() { done <- f.call(n, path, "", opts...) }()
	}
	f.until("the calls run", func() bool { return f.begun() >= before+count })
	return done
}

// Guards against the failure of calls whose nested calls come while their instance stops.
func TestNestedCallsOfForwardedCallsFailDuringStop(t *testing.T) {
	work := func(path string) berylfakebackend.Work {
		if path == "/p.S/Put" {
			return berylfakebackend.Work{Time: 1500 * time.Millisecond, Nested: []string{"/p.Leaf/Get"}}
		}
		return berylfakebackend.Work{}
	}
	f := newFixture(t, nil, work,
		listed{Path: "/p.S/Put", Service: "s"},
		listed{Path: "/p.Leaf/Get", Service: "leaf", Inner: true, Idempotent: true},
		listed{Path: "/p.E/Get", Service: "entry", Idempotent: true})
	entry, middle := f.add("entry", "entry"), f.add("s", "s")
	f.add("leaf", "leaf")
	f.start()
	f.until("tokens flow", func() bool { return f.call(entry, "/p.E/Get", "") == nil })
	done := f.started(entry, "/p.S/Put", 4)
	end := f.stopped(middle, 8*time.Second)
	for range 4 {
		require.NoError(t, <-done)
	}
	require.NoError(t, <-end)
}

// Guards against the loss of calls between two daemons that stop at the same time.
func TestCallsBetweenTwoStoppingDaemonsFail(t *testing.T) {
	f := newFixture(t, nil, func(path string) berylfakebackend.Work {
		if path == "/p.S/Put" {
			return berylfakebackend.Work{Time: time.Second}
		}
		return berylfakebackend.Work{}
	}, append(pair, listed{Path: "/p.E/Get", Service: "entry", Idempotent: true})...)
	entry, at := f.add("entry", "entry"), f.add("s", "s")
	f.start()
	f.until("tokens flow", func() bool { return f.call(entry, "/p.S/Get", "") == nil })
	done := f.started(entry, "/p.S/Put", 8)
	ends := []<-chan error{f.stopped(at, 8*time.Second), f.stopped(entry, 8*time.Second)}
	for range 8 {
		require.NoError(t, <-done)
	}
	for _, end := range ends {
		require.NoError(t, <-end)
	}
}

// Guards against a request without an answer whose body arrives during a stop.
func TestBodyThatArrivesDuringStopGetsNoAnswer(t *testing.T) {
	f := newFixture(t, nil, func(string) berylfakebackend.Work { return berylfakebackend.Work{} }, pair...)
	n := f.add("s", "s")
	f.start()
	f.until("tokens flow", func() bool { return f.call(n, "/p.S/Get", "") == nil })
	begun := f.begun()
	conn, err := net.Dial("tcp", n.set.Callers)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "POST /p.S/Put HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\n%s: %s\r\nContent-Length: 2\r\n\r\n{", berylheader.Key, key)
	require.NoError(t, err)
	time.Sleep(100 * time.Millisecond)
	end := f.stopped(n, 8*time.Second)
	time.Sleep(700 * time.Millisecond)
	_, err = fmt.Fprint(conn, "}")
	require.NoError(t, err)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
	answer := make([]byte, 4096)
	k, err := conn.Read(answer)
	require.NoError(t, err)
	text := string(answer[:k])
	require.True(t, strings.HasPrefix(text, "HTTP/1.1 503"), "%s", text)
	require.Contains(t, text, berylheader.Run+": "+berylrefusal.NotRun)
	require.NoError(t, <-end)
	require.Equal(t, begun, f.begun())
}
