package berylstorecache

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"berylspan/core/berylregistration"

	"github.com/stretchr/testify/require"
)

// peerLink is how one cache fetches from another. It can tamper with the snapshots and
// keeps them.
type peerLink struct {
	mu        sync.Mutex
	reader    *StoreCache // the cache that reads the store
	tamper    func(*Snapshot)
	snapshots []*Snapshot
}

func (p *peerLink) fetch(_ context.Context, _ string, known KnownVersions) (*Snapshot, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	snapshot := p.reader.Snapshot(known)
	if p.tamper != nil {
		p.tamper(snapshot)
	}
	p.snapshots = append(p.snapshots, snapshot)
	return snapshot, nil
}

func (p *peerLink) last() *Snapshot {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.snapshots[len(p.snapshots)-1]
}

// newPair returns a cache that fetches from another, which reads a store with 200 servers.
// The function that it returns marks a server as leaving and waits until both caches know
// that.
func newPair(t *testing.T) (*peerLink, *StoreCache, func(id string)) {
	var servers []berylregistration.Registration
	for i := range 200 {
		servers = append(servers, server(fmt.Sprint(i)))
	}
	source := &fakeSource{changes: noChanges, full: func() (*ReadResult, error) {
		return &ReadResult{Revision: 50, Full: true, Config: config(9), RawConfig: []byte("x"), Updated: servers}, nil
	}}
	p := &peerLink{}
	p.reader = start(t, source)
	eventually(t, func() bool { return hasConfig(p.reader) })
	unreachable := func() (*ReadResult, error) { return nil, context.DeadlineExceeded }
	cache := start(t, &fakeSource{changes: unreachable, full: unreachable}, Fetch(p.fetch))
	announce := func() {
		s := p.reader.State()
		cache.HandlePeerState(context.Background(), "peer", PeerState{ConfigVersion: 9, ChangeRevision: s.ChangeRevision, Revision: s.Revision})
	}
	announce()
	eventually(t, func() bool { return hasConfig(cache) })
	revision := int64(50)
	return p, cache, func(id string) {
		revision++
		leaving := server(id)
		leaving.Leaving = true
		update := &ReadResult{Revision: revision, Updated: []berylregistration.Registration{leaving}}
		source.setChanges(func() (*ReadResult, error) { return update, nil })
		eventually(t, func() bool { return p.reader.State().Servers[id].Leaving })
		source.setChanges(noChanges)
		eventually(t, func() bool { announce(); return cache.State().Servers[id].Leaving })
	}
}

func TestPeerSendsOnlyChanges(t *testing.T) {
	p, cache, setLeaving := newPair(t)
	require.Len(t, p.last().Servers, 200)
	setLeaving("7")
	require.Len(t, p.last().Servers, 1)
	require.Empty(t, p.last().RawConfig)
	require.Equal(t, p.reader.State().Servers, cache.State().Servers)
}

// Only the warm-up time of an entry changes, and again a second later by the passing of time.
func TestServerThatBecomesColdAgainIsToldToPeersOnce(t *testing.T) {
	p, cache, _ := newPair(t)
	handle := func(revision int64, warm time.Duration) {
		cold := server("7")
		cold.Warm = warm
		require.NoError(t, p.reader.loop.Post(t.Context(), func() {
			p.reader.handleRead(&ReadResult{Revision: revision, Updated: []berylregistration.Registration{cold}}, nil)
		}))
		eventually(t, func() bool { return p.reader.State().Revision >= revision })
	}
	handle(60, 3*time.Second)
	change := p.reader.State().ChangeRevision
	require.EqualValues(t, 60, change)
	eventually(t, func() bool {
		cache.HandlePeerState(t.Context(), "peer", PeerState{ConfigVersion: 9, ChangeRevision: change, Revision: 60})
		return cache.State().Servers["7"].ColdFor(time.Now()) > 2*time.Second
	})
	require.Len(t, p.last().Servers, 1)
	require.Less(t, cache.State().Servers["7"].ColdFor(time.Now()), 3*time.Second)
	for _, warm := range []time.Duration{2500 * time.Millisecond, 1500 * time.Millisecond, 0} {
		handle(p.reader.State().Revision+1, warm)
	}
	require.Equal(t, change, p.reader.State().ChangeRevision)
}

func TestFullListIsFetchedWhenChangesDoNotFit(t *testing.T) {
	p, cache, setLeaving := newPair(t)
	p.mu.Lock()
	p.tamper = func(s *Snapshot) {
		if s.BaseRevision > 0 {
			s.RemovedIDs = append(s.RemovedIDs, "9") // The peer still lists it.
		}
	}
	p.mu.Unlock()
	setLeaving("7")
	require.Len(t, p.last().Servers, 200)
	require.Equal(t, p.reader.State().Servers, cache.State().Servers)
	require.Contains(t, cache.State().Servers, "9")
}

// A peer that had copied a pending removal was not told that the server came back, and removed it for all.
func TestReturnedServerIsRemovedAtPeers(t *testing.T) {
	clock, advance := fakeClock()
	down := func() (*ReadResult, error) { return nil, errors.New("down") }
	source := &fakeSource{full: firstRead, changes: down}
	reader := start(t, source, Clock(clock))
	peer := start(t, &fakeSource{full: down, changes: down}, Clock(clock), Rank(func() int { return 1 }),
		Fetch(func(_ context.Context, _ string, known KnownVersions) (*Snapshot, error) {
			return reader.Snapshot(known), nil
		}))
	step := func() {
		advance(50 * time.Millisecond)
		s := reader.State()
		if s.Config != nil {
			peer.HandlePeerState(context.Background(), "reader", PeerState{ConfigVersion: 3, ChangeRevision: s.ChangeRevision, Revision: s.Revision})
		}
	}
	eventually(t, func() bool { step(); return hasConfig(peer) })
	advance(10 * time.Second)
	source.setChanges(func() (*ReadResult, error) {
		return &ReadResult{Revision: 20, RemovedIDs: []string{"1"}, Updated: []berylregistration.Registration{server("7")}}, nil
	})
	eventually(t, func() bool { step(); return len(peer.State().Servers) == 3 })
	source.setChanges(func() (*ReadResult, error) {
		return &ReadResult{Revision: 21, Updated: []berylregistration.Registration{server("1")}}, nil
	})
	for range 80 {
		step()
		time.Sleep(5 * time.Millisecond)
	}
	require.Contains(t, peer.State().Servers, "1")
}

// Guards against a server that stays removed at a peer, because the peer's own removal of it got the
// revision of the change with which it came back.
func TestReturnedServerStaysRemovedAtPeerThatRemovedItFirst(t *testing.T) {
	clock, advance := fakeClock()
	peerClock, advancePeer := fakeClock()
	down := func() (*ReadResult, error) { return nil, errors.New("down") }
	source := &fakeSource{full: firstRead, changes: down}
	reader := start(t, source, Clock(clock))
	peer := start(t, &fakeSource{full: down, changes: down}, Clock(peerClock), Rank(func() int { return 1 }),
		Fetch(func(_ context.Context, _ string, known KnownVersions) (*Snapshot, error) {
			return reader.Snapshot(known), nil
		}))
	step := func() {
		advance(50 * time.Millisecond)
		advancePeer(50 * time.Millisecond)
		s := reader.State()
		if s.Config != nil {
			peer.HandlePeerState(context.Background(), "reader", PeerState{ConfigVersion: 3, ChangeRevision: s.ChangeRevision, Revision: s.Revision})
		}
	}
	eventually(t, func() bool { step(); return hasConfig(peer) })
	advance(10 * time.Second)
	advancePeer(10 * time.Second)
	source.setChanges(func() (*ReadResult, error) {
		return &ReadResult{Revision: 20, RemovedIDs: []string{"1"}, Updated: []berylregistration.Registration{server("7")}}, nil
	})
	eventually(t, func() bool { step(); return len(peer.State().Servers) == 3 })
	source.setChanges(down)
	const before = 50 * time.Millisecond
	wait := (*reader.pendingRemovalsCopy.Load())["1"].Sub(clock()) - before
	advance(wait)
	advancePeer(wait + 2*before) // The removal is due here, and not yet at the reader.
	time.Sleep(100 * time.Millisecond)
	require.NoError(t, reader.loop.Post(t.Context(), func() {
		reader.handleRead(&ReadResult{Revision: 21, Updated: []berylregistration.Registration{server("1")}}, nil)
	}))
	for range 80 {
		step()
		time.Sleep(5 * time.Millisecond)
	}
	require.Contains(t, reader.State().Servers, "1")
	require.Contains(t, peer.State().Servers, "1")
}
