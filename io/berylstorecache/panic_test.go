package berylstorecache

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"berylspan/core/berylregistration"
	"berylspan/io/berylpanic"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// A panic in a read or in what a change leads to must leave the previous lists in force,
// and the next read must make up for it.
func TestPanicKeepsListsAndIsFollowedByFullRead(t *testing.T) {
	for _, tc := range []struct {
		name               string
		inRead, inOnChange bool
	}{
		{"in the read", true, false},
		{"in what the change leads to", false, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var armed, fullReads atomic.Int32
			source := &fakeSource{
				full: func() (*ReadResult, error) {
					fullReads.Add(1)
					return &ReadResult{Full: true, Revision: 5, Config: config(1), Updated: []berylregistration.Registration{server("1")}}, nil
				},
				changes: func() (*ReadResult, error) { return &ReadResult{Revision: 5}, nil },
			}
			panics := make(chan string, 16)
			guard := berylpanic.New(zerolog.Nop(), berylpanic.OnPanic(func(part string) { panics <- part }))
			cache := start(t, source, Guard(guard.Run), OnChange(func(string) {
				if tc.inOnChange && armed.CompareAndSwap(1, 0) {
					panic("change")
				}
			}))
			require.Eventually(t, func() bool { return len(cache.State().Servers) == 1 }, 5*time.Second, 5*time.Millisecond)
			before := fullReads.Load()
			armed.Store(1)
			source.setChanges(func() (*ReadResult, error) {
				if tc.inRead && armed.CompareAndSwap(1, 0) {
					panic("read")
				}
				return &ReadResult{Revision: 6, Updated: []berylregistration.Registration{server("2")}}, nil
			})
			select {
			case part := <-panics:
				require.Equal(t, panicPart, part)
			case <-time.After(5 * time.Second):
				t.Fatal("the panic was not reported within 5 s")
			}
			require.Contains(t, cache.State().Servers, "1")
			require.Eventually(t, func() bool { return cache.State().Servers["2"].ID == "2" }, 5*time.Second, 5*time.Millisecond)
			if tc.inOnChange {
				require.Eventually(t, func() bool { return fullReads.Load() > before }, 5*time.Second, 5*time.Millisecond)
			}
		})
	}
}

// A snapshot whose decoding panics must not end the exchange with other instances.
func TestPanicInSnapshotEndsOnlyThatFetch(t *testing.T) {
	source := &fakeSource{
		full:    func() (*ReadResult, error) { return nil, context.DeadlineExceeded },
		changes: func() (*ReadResult, error) { return nil, context.DeadlineExceeded },
	}
	var fetches atomic.Int32
	panics := make(chan string, 16)
	guard := berylpanic.New(zerolog.Nop(), berylpanic.OnPanic(func(part string) { panics <- part }))
	cache := start(t, source, Guard(guard.Run), Fetch(func(context.Context, string, KnownVersions) (*Snapshot, error) {
		if fetches.Add(1) == 1 {
			panic("snapshot")
		}
		return &Snapshot{ConfigVersion: 9, RawConfig: []byte("x"), ChangeRevision: 3, Revision: 3, Servers: []berylregistration.Registration{server("1")}}, nil
	}))
	ctx := context.Background()
	cache.HandlePeerState(ctx, "10.0.0.9:1", PeerState{ConfigVersion: 9, ChangeRevision: 3, Revision: 3})
	require.Equal(t, panicPart, <-panics)
	require.Eventually(t, func() bool {
		cache.HandlePeerState(ctx, "10.0.0.9:1", PeerState{ConfigVersion: 9, ChangeRevision: 3, Revision: 3})
		return cache.State().Config != nil
	}, 5*time.Second, 5*time.Millisecond)
}
