package berylview

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"berylspan/core/beryllisted"

	"github.com/stretchr/testify/require"
)

// between is how one view fetches from another; it keeps what was passed on.
type between struct {
	mu    sync.Mutex
	peer  *View
	bend  func(*Snapshot)
	snaps []*Snapshot
}

func (b *between) pull(_ context.Context, _ string, k Known) (*Snapshot, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	snap := b.peer.Snapshot(k)
	if b.bend != nil {
		b.bend(snap)
	}
	b.snaps = append(b.snaps, snap)
	return snap, nil
}

func (b *between) last() *Snapshot {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.snaps[len(b.snaps)-1]
}

// pair returns a view that reads a store with a list of 200 and one that takes
// from it, and a function that makes an entry leave and waits for both.
func pair(t *testing.T) (*between, *View, func(id string)) {
	var all []beryllisted.Registration
	for i := range 200 {
		all = append(all, server(fmt.Sprint(i)))
	}
	f := &feed{next: nothing, all: func() (*Batch, error) {
		return &Batch{Revision: 50, Whole: true, Published: version(9), Raw: []byte("x"), Set: all}, nil
	}}
	b := &between{}
	b.peer = start(t, f)
	eventually(t, func() bool { return known(b.peer) })
	down := func() (*Batch, error) { return nil, context.DeadlineExceeded }
	v := start(t, &feed{next: down, all: down}, Pull(b.pull))
	hear := func() {
		s := b.peer.State()
		v.Hear(context.Background(), "peer", 9, s.Change, s.Revision, 0)
	}
	hear()
	eventually(t, func() bool { return known(v) })
	revision := int64(50)
	return b, v, func(id string) {
		revision++
		l := server(id)
		l.Leaving = true
		set := &Batch{Revision: revision, Set: []beryllisted.Registration{l}}
		f.set(func() (*Batch, error) { return set, nil })
		eventually(t, func() bool { return b.peer.State().Listed[id].Leaving })
		f.set(nothing)
		eventually(t, func() bool { hear(); return v.State().Listed[id].Leaving })
	}
}

func TestAPeerPassesOnOnlyWhatHasChanged(t *testing.T) {
	b, v, leave := pair(t)
	require.Len(t, b.last().Listed, 200)
	leave("7")
	require.Len(t, b.last().Listed, 1)
	require.Empty(t, b.last().Raw)
	require.Equal(t, b.peer.State().Listed, v.State().Listed)
}

func TestTheWholeListIsFetchedWhereDifferencesDoNotFit(t *testing.T) {
	b, v, leave := pair(t)
	b.mu.Lock()
	b.bend = func(s *Snapshot) {
		if s.Base > 0 {
			s.Gone = append(s.Gone, "9") // The peer holds it still.
		}
	}
	b.mu.Unlock()
	leave("7")
	require.Len(t, b.last().Listed, 200)
	require.Equal(t, b.peer.State().Listed, v.State().Listed)
	require.Contains(t, v.State().Listed, "9")
}
