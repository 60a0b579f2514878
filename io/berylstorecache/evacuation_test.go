package berylstorecache

import (
	"context"
	"errors"
	"testing"

	"berylspan/core/berylevacuation"
	"berylspan/core/berylregistration"

	"github.com/stretchr/testify/require"
)

func TestEvacuationLeavesServersOutAndIsARelevantChange(t *testing.T) {
	source := &fakeSource{full: firstRead, changes: noChanges}
	cache := start(t, source)
	eventually(t, func() bool { return hasConfig(cache) })
	change := cache.State().ChangeRevision
	source.setChanges(func() (*ReadResult, error) {
		return &ReadResult{Revision: 20, Evacuations: map[string]bool{"z": true}}, nil
	})
	eventually(t, func() bool { return cache.State().Evacuated.Contains("z") })
	require.Empty(t, cache.State().ServersByService["s"])
	require.Len(t, cache.State().Servers, 2, "they are still listed")
	require.Greater(t, cache.State().ChangeRevision, change)
	source.setChanges(func() (*ReadResult, error) {
		return &ReadResult{Revision: 21, Evacuations: map[string]bool{"z": false}}, nil
	})
	eventually(t, func() bool { return len(cache.State().ServersByService["s"]) == 2 })
}

// A read that was under way when a peer told of an evacuation must not end it.
func TestOvertakenReadDoesNotEndAnEvacuation(t *testing.T) {
	respond := make(chan struct{})
	source := &fakeSource{changes: noChanges, full: func() (*ReadResult, error) { <-respond; return firstRead() }}
	cache := start(t, source, Fetch(func(context.Context, string, KnownVersions) (*Snapshot, error) {
		return &Snapshot{
			ConfigVersion: 9, RawConfig: []byte("x"), ChangeRevision: 8, Revision: 8, Evacuated: &berylevacuation.Zones{"z": 0},
			Servers: []berylregistration.Registration{server("1"), server("2")},
		}, nil
	}))
	cache.HandlePeerState(context.Background(), "peer", PeerState{ConfigVersion: 9, ChangeRevision: 8, Revision: 8})
	eventually(t, func() bool { return hasConfig(cache) })
	close(respond)
	eventually(t, func() bool { return cache.StoreReads() > 1 })
	require.True(t, cache.State().Evacuated.Contains("z"))
}

func TestPeerPassesOnEvacuations(t *testing.T) {
	down := func() (*ReadResult, error) { return nil, errors.New("down") }
	source := &fakeSource{full: firstRead, changes: func() (*ReadResult, error) {
		return &ReadResult{Revision: 20, Evacuations: map[string]bool{"z": true}}, nil
	}}
	reader := start(t, source)
	old := false // the peer does not know of evacuations
	peer := start(t, &fakeSource{full: down, changes: down}, Fetch(func(_ context.Context, _ string, known KnownVersions) (*Snapshot, error) {
		snapshot := reader.Snapshot(known)
		if old {
			snapshot.Evacuated = nil
		}
		return snapshot, nil
	}))
	announce := func() {
		s := reader.State()
		peer.HandlePeerState(context.Background(), "reader", PeerState{ConfigVersion: 3, ChangeRevision: s.ChangeRevision, Revision: s.Revision})
	}
	eventually(t, func() bool { announce(); return peer.State().Evacuated.Contains("z") })
	require.Empty(t, peer.State().ServersByService["s"])

	old = true
	source.setChanges(func() (*ReadResult, error) {
		return &ReadResult{Revision: 21, Updated: []berylregistration.Registration{server("7")}}, nil
	})
	eventually(t, func() bool { announce(); return len(peer.State().Servers) == 3 })
	require.True(t, peer.State().Evacuated.Contains("z"), "an older build says nothing of it")
}

func TestEvacuationHoldsAfterTheStoreWasRestored(t *testing.T) {
	clock, advance := fakeClock()
	source := &fakeSource{changes: noChanges, full: func() (*ReadResult, error) {
		result, err := firstRead()
		result.Era, result.Evacuations = 1, map[string]bool{"z": true}
		return result, err
	}}
	cache := start(t, source, Clock(clock))
	eventually(t, func() bool { return hasConfig(cache) })
	source.mu.Lock()
	source.full = func() (*ReadResult, error) {
		result, err := firstRead()
		result.Era, result.Revision, result.Evacuations = 2, 3, map[string]bool{"y": true}
		return result, err
	}
	source.changes = func() (*ReadResult, error) { return &ReadResult{Era: 2, Revision: 3}, nil }
	source.mu.Unlock()
	eventually(t, func() bool { advance(readInterval); return cache.State().Era == 2 })
	reads := cache.StoreReads()
	eventually(t, func() bool { advance(fullReadInterval / 4); return cache.StoreReads() > reads+20 })
	require.Equal(t, []string{"y", "z"}, cache.State().Evacuated.Names(), "the copy may be older than the evacuation")
}
