package berylview

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"berylspan/core/beryllisted"
	"berylspan/core/berylpublished"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// feed is a store whose answers a test sets.
type feed struct {
	mu   sync.Mutex
	all  func() (*Batch, error)
	next func() (*Batch, error)
	n    int
}

func (f *feed) feed() Feed {
	return Feed{
		All: func(context.Context) (*Batch, error) { f.mu.Lock(); defer f.mu.Unlock(); f.n++; return f.all() },
		Next: func(context.Context, int64, time.Duration) (*Batch, error) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.n++
			return f.next()
		},
		Decode: func([]byte) (*berylpublished.Config, error) { return version(9), nil },
	}
}

func (f *feed) set(next func() (*Batch, error)) {
	f.mu.Lock()
	f.next = next
	f.mu.Unlock()
}

func version(n int64) *berylpublished.Config { return berylpublished.New(n, nil, nil) }

func server(id string) beryllisted.Registration {
	return beryllisted.Registration{ID: id, Service: "s", Zone: "z", Addr: "10.0.0." + id + ":80", Slots: 5, Born: 1}
}

func start(t *testing.T, f *feed, opts ...func(*View)) *View {
	t.Helper()
	v := New(f.feed(), zerolog.Nop(), opts...)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { v.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return v
}

func eventually(t *testing.T, ok func() bool) {
	t.Helper()
	require.Eventually(t, ok, 5*time.Second, 5*time.Millisecond)
}

func first() (*Batch, error) {
	return &Batch{Revision: 5, Whole: true, Raw: []byte("x"), Published: version(3), Set: []beryllisted.Registration{server("1"), server("2")}}, nil
}

func nothing() (*Batch, error) { return &Batch{Revision: 6}, nil }

func known(v *View) bool { return v.State().Published != nil }

func TestConfigurationsNeverGoBack(t *testing.T) {
	f := &feed{all: first, next: func() (*Batch, error) { return &Batch{Revision: 7, Published: version(2)}, nil }}
	v := start(t, f)
	eventually(t, func() bool { return v.State().Revision == 7 })
	require.Equal(t, int64(3), v.State().Published.Version)
}

func TestDroppedHistoryIsReadAnew(t *testing.T) {
	f := &feed{all: first, next: func() (*Batch, error) { return nil, ErrHistory }}
	v := start(t, f)
	eventually(t, func() bool { return known(v) })
	f.mu.Lock()
	f.all = func() (*Batch, error) {
		return &Batch{Revision: 30, Whole: true, Published: version(4), Set: []beryllisted.Registration{server("2")}}, nil
	}
	f.mu.Unlock()
	eventually(t, func() bool { return v.State().Published.Version == 4 })
	require.NotContains(t, v.State().Listed, "1")
	require.Contains(t, v.State().Listed, "2")
}

func TestOfTwoEntriesWithOneAddressTheLaterLifetimeHolds(t *testing.T) {
	f := &feed{all: first, next: func() (*Batch, error) {
		l := server("1")
		l.ID, l.Born, l.Service = "3", 2, "other"
		return &Batch{Revision: 8, Set: []beryllisted.Registration{l}}, nil
	}}
	v := start(t, f)
	eventually(t, func() bool { return len(v.State().Services["other"]) == 1 })
	require.Len(t, v.State().Services["s"], 1)
}

func TestEntriesThatEndInAnOutageStayAMomentLonger(t *testing.T) {
	var mu sync.Mutex
	now := time.Unix(1_000, 0)
	clock := func() time.Time { mu.Lock(); defer mu.Unlock(); return now }
	advance := func(d time.Duration) { mu.Lock(); now = now.Add(d); mu.Unlock() }
	f := &feed{all: first, next: func() (*Batch, error) { return nil, errors.New("down") }}
	v := start(t, f, Clock(clock))
	eventually(t, func() bool { advance(time.Millisecond); return known(v) })
	advance(10 * time.Second) // The store is away.
	f.set(func() (*Batch, error) { return &Batch{Revision: 20, Gone: []string{"1"}}, nil })
	eventually(t, func() bool { advance(50 * time.Millisecond); return v.State().Revision == 20 })
	require.Contains(t, v.State().Listed, "1", "it may come back")
	f.set(nothing)
	eventually(t, func() bool { advance(50 * time.Millisecond); return len(v.State().Listed) == 1 })
}

// This instance sees entries end after an outage; another sees them come back
// first and passes that on.
func TestEntriesThatCameBackAtAnotherInstanceStay(t *testing.T) {
	var mu sync.Mutex
	now := time.Unix(1_000, 0)
	clock := func() time.Time { mu.Lock(); defer mu.Unlock(); return now }
	advance := func(d time.Duration) { mu.Lock(); now = now.Add(d); mu.Unlock() }
	f := &feed{all: first, next: func() (*Batch, error) { return nil, errors.New("down") }}
	v := start(t, f, Clock(clock), Pull(func(context.Context, string, Known) (*Snapshot, error) {
		return &Snapshot{Version: 3, Change: 60, Revision: 60, Listed: []beryllisted.Registration{server("1"), server("2")}}, nil
	}))
	eventually(t, func() bool { advance(time.Millisecond); return known(v) })
	advance(10 * time.Second)
	f.set(func() (*Batch, error) { return &Batch{Revision: 20, Gone: []string{"1"}}, nil })
	eventually(t, func() bool { advance(50 * time.Millisecond); return v.State().Revision == 20 })
	f.set(nothing)
	f.mu.Lock()
	f.all = func() (*Batch, error) { return nil, errors.New("down") }
	f.mu.Unlock()
	v.Hear(context.Background(), "peer", 3, 60, 60, 0)
	eventually(t, func() bool { return v.State().Change == 60 })
	for range 60 {
		advance(50 * time.Millisecond)
		time.Sleep(5 * time.Millisecond)
	}
	require.Contains(t, v.State().Listed, "1")
}

// A change was missed: nothing in the history tells of it any more.
func TestEverythingIsReadAnewFromTimeToTime(t *testing.T) {
	var mu sync.Mutex
	now := time.Unix(1_000, 0)
	clock := func() time.Time { mu.Lock(); defer mu.Unlock(); return now }
	f := &feed{all: first, next: nothing}
	v := start(t, f, Clock(clock))
	eventually(t, func() bool { return known(v) })
	change := v.State().Change
	f.mu.Lock()
	f.all = func() (*Batch, error) {
		b, err := first()
		b.Revision = 6 // The revision of a store never falls.
		b.Set = append(b.Set, server("3"))
		return b, err
	}
	f.mu.Unlock()
	eventually(t, func() bool {
		mu.Lock()
		now = now.Add(100 * time.Millisecond)
		mu.Unlock()
		return len(v.State().Listed) == 3
	})
	require.Greater(t, v.State().Change, change)
}

func TestWithoutAnOutageAnEntryThatIsGoneGoesAtOnce(t *testing.T) {
	f := &feed{all: first, next: func() (*Batch, error) { return &Batch{Revision: 20, Gone: []string{"1"}}, nil }}
	v := start(t, f)
	eventually(t, func() bool { return v.State().Revision == 20 })
	require.NotContains(t, v.State().Listed, "1")
}

func TestWhatAnotherInstanceReadIsTakenFromIt(t *testing.T) {
	f := &feed{all: first, next: nothing}
	pulls := 0
	v := start(t, f, Place(func() int { return 1 }), Pull(func(context.Context, string, Known) (*Snapshot, error) {
		pulls++
		return &Snapshot{Version: 9, Raw: []byte("y"), Change: 50, Revision: 50, Listed: []beryllisted.Registration{server("7")}}, nil
	}))
	eventually(t, func() bool { return known(v) })
	ctx := context.Background()
	v.Hear(ctx, "peer", 9, 50, 50, 0)
	eventually(t, func() bool { return v.State().Published.Version == 9 })
	require.Contains(t, v.State().Listed, "7")
	v.Hear(ctx, "peer", 3, 5, 5, 0)
	time.Sleep(50 * time.Millisecond)
	require.Equal(t, 1, pulls, "older knowledge is not fetched")
}

func TestWordsOfAReaderKeepOthersFromReading(t *testing.T) {
	f := &feed{all: first, next: nothing}
	v := start(t, f, Place(func() int { return 1 }))
	eventually(t, func() bool { return known(v) })
	f.mu.Lock()
	before := f.n
	f.mu.Unlock()
	for range 20 {
		s := v.State()
		v.Hear(context.Background(), "peer", 3, s.Change, s.Revision+1, 0)
		time.Sleep(100 * time.Millisecond)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	require.Equal(t, before, f.n)
}

func TestAReadThatAPeerHasOvertakenTakesNothingAway(t *testing.T) {
	answer := make(chan struct{})
	f := &feed{next: nothing, all: func() (*Batch, error) {
		<-answer
		return &Batch{Revision: 5, Whole: true, Published: version(3), Set: []beryllisted.Registration{server("1")}}, nil
	}}
	var pulled atomic.Bool
	v := start(t, f, Pull(func(context.Context, string, Known) (*Snapshot, error) {
		pulled.Store(true)
		return &Snapshot{Version: 9, Raw: []byte("x"), Change: 8, Revision: 8, Listed: []beryllisted.Registration{server("1"), server("2")}}, nil
	}))
	v.Hear(context.Background(), "peer", 9, 8, 8, 0)
	eventually(t, func() bool { return known(v) })
	close(answer)
	eventually(t, func() bool { return v.Calls() > 1 })
	require.True(t, pulled.Load())
	require.Contains(t, v.State().Listed, "2")
	require.Equal(t, int64(9), v.State().Published.Version)
}
