package berylstorecache

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"berylspan/core/berylhttpconfig"
	"berylspan/core/berylregistration"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// fakeSource is a store whose responses are set by the test.
type fakeSource struct {
	mu      sync.Mutex
	full    func() (*ReadResult, error)
	changes func() (*ReadResult, error)
	n       int // reads
}

func (s *fakeSource) source() Source {
	return Source{
		ReadAll: func(context.Context) (*ReadResult, error) { s.mu.Lock(); defer s.mu.Unlock(); s.n++; return s.full() },
		WaitForChanges: func(context.Context, int64, time.Duration) (*ReadResult, error) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.n++
			return s.changes()
		},
		DecodeConfig: func([]byte) (*berylhttpconfig.Config, error) { return config(9), nil },
	}
}

func (s *fakeSource) setChanges(changes func() (*ReadResult, error)) {
	s.mu.Lock()
	s.changes = changes
	s.mu.Unlock()
}

func config(version int64) *berylhttpconfig.Config { return berylhttpconfig.New(version, nil, nil) }

func server(id string) berylregistration.Registration {
	return berylregistration.Registration{ID: id, Service: "s", Zone: "z", Addr: "10.0.0." + id + ":80", Slots: 5, Born: 1}
}

func start(t *testing.T, source *fakeSource, opts ...func(*StoreCache)) *StoreCache {
	t.Helper()
	cache := New(source.source(), zerolog.Nop(), opts...)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { cache.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return cache
}

// fakeClock returns a clock and what advances it. Both are safe for concurrent use.
func fakeClock() (clock func() time.Time, advance func(d time.Duration)) {
	var mu sync.Mutex
	now := time.Unix(1_000, 0)
	return func() time.Time { mu.Lock(); defer mu.Unlock(); return now },
		func(d time.Duration) { mu.Lock(); now = now.Add(d); mu.Unlock() }
}

func eventually(t *testing.T, ok func() bool) {
	t.Helper()
	require.Eventually(t, ok, 5*time.Second, 5*time.Millisecond)
}

func firstRead() (*ReadResult, error) {
	return &ReadResult{Revision: 5, Full: true, RawConfig: []byte("x"), Config: config(3), Updated: []berylregistration.Registration{server("1"), server("2")}}, nil
}

func noChanges() (*ReadResult, error) { return &ReadResult{Revision: 6}, nil }

func hasConfig(c *StoreCache) bool { return c.State().Config != nil }

func TestOlderConfigurationIsIgnored(t *testing.T) {
	source := &fakeSource{full: firstRead, changes: func() (*ReadResult, error) { return &ReadResult{Revision: 7, Config: config(2)}, nil }}
	cache := start(t, source)
	eventually(t, func() bool { return cache.State().Revision == 7 })
	require.Equal(t, int64(3), cache.State().Config.Version)
}

func TestFullReadAfterHistoryIsCompacted(t *testing.T) {
	source := &fakeSource{full: firstRead, changes: func() (*ReadResult, error) { return nil, ErrCompacted }}
	cache := start(t, source)
	eventually(t, func() bool { return hasConfig(cache) })
	source.mu.Lock()
	source.full = func() (*ReadResult, error) {
		return &ReadResult{Revision: 30, Full: true, Config: config(4), Updated: []berylregistration.Registration{server("2")}}, nil
	}
	source.mu.Unlock()
	eventually(t, func() bool { return cache.State().Config.Version == 4 })
	require.NotContains(t, cache.State().Servers, "1")
	require.Contains(t, cache.State().Servers, "2")
}

func TestLaterStartedServerWinsAnAddress(t *testing.T) {
	source := &fakeSource{full: firstRead, changes: func() (*ReadResult, error) {
		replacement := server("1")
		replacement.ID, replacement.Born, replacement.Service = "3", 2, "other"
		return &ReadResult{Revision: 8, Updated: []berylregistration.Registration{replacement}}, nil
	}}
	cache := start(t, source)
	eventually(t, func() bool { return len(cache.State().ServersByService["other"]) == 1 })
	require.Len(t, cache.State().ServersByService["s"], 1)
}

func TestRemovalIsDelayedAfterOutage(t *testing.T) {
	clock, advance := fakeClock()
	source := &fakeSource{full: firstRead, changes: func() (*ReadResult, error) { return nil, errors.New("down") }}
	cache := start(t, source, Clock(clock))
	eventually(t, func() bool { advance(time.Millisecond); return hasConfig(cache) })
	advance(10 * time.Second) // The store is down.
	source.setChanges(func() (*ReadResult, error) { return &ReadResult{Revision: 20, RemovedIDs: []string{"1"}}, nil })
	eventually(t, func() bool { advance(50 * time.Millisecond); return cache.State().Revision == 20 })
	require.Contains(t, cache.State().Servers, "1", "it may come back")
	source.setChanges(noChanges)
	eventually(t, func() bool { advance(50 * time.Millisecond); return len(cache.State().Servers) == 1 })
}

// Guards against removing a server that this instance saw removed after an outage, while
// a peer saw it come back first and sent that.
func TestServerThatAPeerSawReturnIsNotRemoved(t *testing.T) {
	clock, advance := fakeClock()
	source := &fakeSource{full: firstRead, changes: func() (*ReadResult, error) { return nil, errors.New("down") }}
	cache := start(t, source, Clock(clock), Fetch(func(context.Context, string, KnownVersions) (*Snapshot, error) {
		return &Snapshot{ConfigVersion: 3, ChangeRevision: 60, Revision: 60, Servers: []berylregistration.Registration{server("1"), server("2")}}, nil
	}))
	eventually(t, func() bool { advance(time.Millisecond); return hasConfig(cache) })
	advance(10 * time.Second)
	source.setChanges(func() (*ReadResult, error) { return &ReadResult{Revision: 20, RemovedIDs: []string{"1"}}, nil })
	eventually(t, func() bool { advance(50 * time.Millisecond); return cache.State().Revision == 20 })
	source.setChanges(noChanges)
	source.mu.Lock()
	source.full = func() (*ReadResult, error) { return nil, errors.New("down") }
	source.mu.Unlock()
	cache.HandlePeerState(context.Background(), "peer", PeerState{ConfigVersion: 3, ChangeRevision: 60, Revision: 60})
	eventually(t, func() bool { return cache.State().ChangeRevision == 60 })
	for range 60 {
		advance(50 * time.Millisecond)
		time.Sleep(5 * time.Millisecond)
	}
	require.Contains(t, cache.State().Servers, "1")
}

// Guards against missing a change for good, when it was missed once and the store does not
// report it again.
func TestPeriodicFullReadFindsMissedChange(t *testing.T) {
	clock, advance := fakeClock()
	source := &fakeSource{full: firstRead, changes: noChanges}
	cache := start(t, source, Clock(clock))
	eventually(t, func() bool { return hasConfig(cache) })
	change := cache.State().ChangeRevision
	source.mu.Lock()
	source.full = func() (*ReadResult, error) {
		result, err := firstRead()
		result.Revision = 6 // The revision of a store never decreases.
		result.Updated = append(result.Updated, server("3"))
		return result, err
	}
	source.mu.Unlock()
	eventually(t, func() bool {
		advance(100 * time.Millisecond)
		return len(cache.State().Servers) == 3
	})
	require.Greater(t, cache.State().ChangeRevision, change)
}

func TestRemovalIsImmediateWithoutOutage(t *testing.T) {
	source := &fakeSource{full: firstRead, changes: func() (*ReadResult, error) { return &ReadResult{Revision: 20, RemovedIDs: []string{"1"}}, nil }}
	cache := start(t, source)
	eventually(t, func() bool { return cache.State().Revision == 20 })
	require.NotContains(t, cache.State().Servers, "1")
}

func TestNewerStateIsFetchedFromPeer(t *testing.T) {
	source := &fakeSource{full: firstRead, changes: noChanges}
	fetches := 0
	cache := start(t, source, Rank(func() int { return 1 }), Fetch(func(context.Context, string, KnownVersions) (*Snapshot, error) {
		fetches++
		return &Snapshot{ConfigVersion: 9, RawConfig: []byte("y"), ChangeRevision: 50, Revision: 50, Servers: []berylregistration.Registration{server("7")}}, nil
	}))
	eventually(t, func() bool { return hasConfig(cache) })
	ctx := context.Background()
	cache.HandlePeerState(ctx, "peer", PeerState{ConfigVersion: 9, ChangeRevision: 50, Revision: 50})
	eventually(t, func() bool { return cache.State().Config.Version == 9 })
	require.Contains(t, cache.State().Servers, "7")
	cache.HandlePeerState(ctx, "peer", PeerState{ConfigVersion: 3, ChangeRevision: 5, Revision: 5})
	time.Sleep(50 * time.Millisecond)
	require.Equal(t, 1, fetches, "an older state is not fetched")
}

func TestFreshPeerSuppressesReads(t *testing.T) {
	source := &fakeSource{full: firstRead, changes: noChanges}
	cache := start(t, source, Rank(func() int { return 1 }))
	eventually(t, func() bool { return hasConfig(cache) })
	source.mu.Lock()
	readsBefore := source.n
	source.mu.Unlock()
	for range 20 {
		s := cache.State()
		cache.HandlePeerState(context.Background(), "peer", PeerState{ConfigVersion: 3, ChangeRevision: s.ChangeRevision, Revision: s.Revision + 1})
		time.Sleep(100 * time.Millisecond)
	}
	source.mu.Lock()
	defer source.mu.Unlock()
	require.Equal(t, readsBefore, source.n)
}

func TestOvertakenReadRemovesNothing(t *testing.T) {
	respond := make(chan struct{})
	source := &fakeSource{changes: noChanges, full: func() (*ReadResult, error) {
		<-respond
		return &ReadResult{Revision: 5, Full: true, Config: config(3), Updated: []berylregistration.Registration{server("1")}}, nil
	}}
	var fetched atomic.Bool
	cache := start(t, source, Fetch(func(context.Context, string, KnownVersions) (*Snapshot, error) {
		fetched.Store(true)
		return &Snapshot{ConfigVersion: 9, RawConfig: []byte("x"), ChangeRevision: 8, Revision: 8, Servers: []berylregistration.Registration{server("1"), server("2")}}, nil
	}))
	cache.HandlePeerState(context.Background(), "peer", PeerState{ConfigVersion: 9, ChangeRevision: 8, Revision: 8})
	eventually(t, func() bool { return hasConfig(cache) })
	close(respond)
	eventually(t, func() bool { return cache.StoreReads() > 1 })
	require.True(t, fetched.Load())
	require.Contains(t, cache.State().Servers, "2")
	require.Equal(t, int64(9), cache.State().Config.Version)
}

// A server that left seconds after an outage had ended was used for 2 s more, longer than it serves.
func TestRemovalWellAfterOutageIsDelayed(t *testing.T) {
	clock, advance := fakeClock()
	source := &fakeSource{full: firstRead, changes: func() (*ReadResult, error) { return nil, errors.New("down") }}
	cache := start(t, source, Clock(clock))
	eventually(t, func() bool { advance(time.Millisecond); return hasConfig(cache) })
	advance(10 * time.Second) // The store is down.
	source.setChanges(func() (*ReadResult, error) { return &ReadResult{Revision: 20}, nil })
	eventually(t, func() bool { advance(50 * time.Millisecond); return cache.State().Revision == 20 })
	// In steps short enough for reads in between, as a long time without one counts as an outage.
	for range 250 {
		advance(removalDelay / 200)
		time.Sleep(5 * time.Millisecond)
	}
	source.setChanges(func() (*ReadResult, error) { return &ReadResult{Revision: 21, RemovedIDs: []string{"1"}}, nil })
	eventually(t, func() bool { advance(10 * time.Millisecond); return cache.State().Revision == 21 })
	require.NotContains(t, cache.State().Servers, "1")
}
