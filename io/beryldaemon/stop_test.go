package beryldaemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"berylspan/core/berylinvariant"
	"berylspan/core/berylrefusal"
	"berylspan/io/berylfakebackend"
	"berylspan/io/berylframe"
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

// Guards against calls that get no answer when the time for a stop is over. They may have run.
func TestCallsRunningAtTheEndOfTheStopGetNoAnswer(t *testing.T) {
	for _, tc := range []struct {
		name    string
		path    string
		forward bool
		opts    []connect.ClientOption
	}{
		{"Connect at the instance itself", "/p.S/Put", false, nil},
		{"Connect forwarded by another instance", "/p.S/Put", true, nil},
		{"gRPC at the instance itself", "/p.S/Put", false, []connect.ClientOption{connect.WithGRPC()}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t, nil, func(path string) berylfakebackend.Work {
				if path == "/p.S/Put" {
					return berylfakebackend.Work{Time: 7 * time.Second}
				}
				return berylfakebackend.Work{}
			}, append(pair, listed{Path: "/p.E/Get", Service: "entry", Idempotent: true})...)
			f.guard = berylinvariant.New(berylinvariant.OnViolation(func(string, string) {}))
			at := f.add("s", "s")
			to := at
			if tc.forward {
				to = f.add("entry", "entry")
			}
			f.start()
			f.until("tokens flow", func() bool { return f.call(to, "/p.S/Get", "") == nil })
			done := f.started(to, tc.path, 2, tc.opts...)
			begin := time.Now()
			const drain = 2 * time.Second
			end := f.stopped(at, drain)
			for range 2 {
				err := <-done
				var ce *connect.Error
				require.True(t, errors.As(err, &ce), "%v", err)
				require.Equal(t, berylrefusal.Unknown, ce.Meta().Get(berylheader.Run), "%v", err)
				require.Equal(t, berylrefusal.Leaving, ce.Meta().Get(berylheader.Reason), "%v", err)
			}
			require.Error(t, <-end)
			require.Less(t, time.Since(begin), drain+time.Second)
		})
	}
}

// Guards against a stream that ends without telling why when the time for a stop is over.
func TestStreamRunningAtTheEndOfTheStopGetsNoEnd(t *testing.T) {
	f := newFixture(t, nil, func(path string) berylfakebackend.Work {
		if path == "/p.S/Pull" {
			return berylfakebackend.Work{Chunks: 100, Size: 100, Pace: 100 * time.Millisecond}
		}
		return berylfakebackend.Work{}
	}, pair...)
	f.guard = berylinvariant.New(berylinvariant.OnViolation(func(string, string) {}))
	n := f.add("s", "s")
	f.start()
	f.until("tokens flow", func() bool { return f.call(n, "/p.S/Get", "") == nil })
	c := connect.NewClient[berylframe.Frame, berylframe.Frame](f.client, f.scheme+n.set.Callers+"/p.S/Pull", connect.WithCodec(berylframe.Codec(berylframe.JSON)))
	req := connect.NewRequest(&berylframe.Frame{Codec: berylframe.JSON, Data: []byte(`{}`)})
	req.Header().Set(berylheader.Key, key)
	stream, err := c.CallServerStream(context.Background(), req)
	require.NoError(t, err)
	require.True(t, stream.Receive())
	end := f.stopped(n, 2*time.Second)
	for stream.Receive() {
		require.NotEmpty(t, stream.Msg().Data)
	}
	var ce *connect.Error
	require.True(t, errors.As(stream.Err(), &ce), "%v", stream.Err())
	require.Equal(t, berylrefusal.Unknown, ce.Meta().Get(berylheader.Run), "%v", ce)
	require.Equal(t, berylrefusal.Leaving, ce.Meta().Get(berylheader.Reason), "%v", ce)
	require.Error(t, <-end)
}

// Guards against a stop that is told as one that cut off calls because of a connection on which
// nothing was asked.
func TestUnusedConnectionMakesStopFail(t *testing.T) {
	f := newFixture(t, nil, func(string) berylfakebackend.Work { return berylfakebackend.Work{} }, pair...)
	n := f.add("s", "s")
	f.start()
	for _, addr := range []string{n.set.Callers, n.set.Peers, n.set.Local} {
		conn, err := net.Dial("tcp", addr)
		require.NoError(t, err)
		defer func() { _ = conn.Close() }()
	}
	require.NoError(t, <-f.stopped(n, 2*time.Second))
}

// Guards against the failure of accepted calls that make nested calls to their own service, of
// which the stopping instance is the only one.
func TestNestedCallsToOwnServiceFailDuringStop(t *testing.T) {
	f := newFixture(t, nil, func(path string) berylfakebackend.Work {
		if path == "/p.S/Put" {
			return berylfakebackend.Work{Time: time.Second, Nested: []string{"/p.S/Get"}}
		}
		return berylfakebackend.Work{}
	}, pair...)
	n := f.add("s", "s")
	f.start()
	f.until("tokens flow", func() bool { return f.call(n, "/p.S/Get", "") == nil })
	done := f.started(n, "/p.S/Put", 4)
	end := f.stopped(n, 8*time.Second)
	for range 4 {
		require.NoError(t, <-done)
	}
	require.NoError(t, <-end)
}
