// Package berylview keeps an instance's knowledge of the published lists.
//
// Few instances read the store: one reads while what it knows is older than its
// own patience, which grows with its place among the instances alive. What one
// has read the others take from it.
package berylview

import (
	"context"
	"errors"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"berylspan/core/berylchanges"
	"berylspan/core/beryllisted"
	"berylspan/io/berylclock"
	"berylspan/io/berylloop"

	"github.com/rs/zerolog"
)

// View is safe for concurrent use; one goroutine owns its changes.
type View struct {
	feed    Feed
	pull    func(ctx context.Context, addr string, k Known) (*Snapshot, error)
	place   func() int
	changed func(from string)
	log     zerolog.Logger
	clock   berylclock.Clock
	loop    *berylloop.Loop
	now     atomic.Pointer[State]
	calls   atomic.Int64

	// Owned by the loop.
	reading bool
	pulling bool
	lost    bool // the history that would be continued is gone
	called  time.Time
	whole   time.Time // when everything was read last
	failed  bool
	outage  time.Time // end of the last time in which the store could not be read
	lapsed  map[string]time.Time
	lapses  atomic.Pointer[map[string]time.Time] // a copy for other goroutines
	differs bool                                 // what a peer's differences led to is not what it has

	mu      sync.Mutex
	changes *berylchanges.Changes
}

// Known is what an instance has already when it asks another.
type Known struct {
	Version int64  // of the configuration
	Change  int64  // of the list
	Digest  uint64 // of the list
}

// Snapshot is what one instance passes on to another. Listed and Gone are the
// differences from the list of change Base, or Listed is all when that is 0.
type Snapshot struct {
	Version  int64                `cbor:"1,keyasint"`
	Raw      []byte               `cbor:"2,keyasint,omitempty"` // nil when the asker has it
	Change   int64                `cbor:"3,keyasint"`
	Revision int64                `cbor:"4,keyasint"`
	AgeMs    int64                `cbor:"5,keyasint"`
	Listed   []beryllisted.Listed `cbor:"6,keyasint"`
	Lapsed   map[string]int64     `cbor:"7,keyasint,omitempty"` // milliseconds that entries are kept which have ended
	Base     int64                `cbor:"8,keyasint,omitempty"`
	Gone     []string             `cbor:"9,keyasint,omitempty"` // ids
	Digest   uint64               `cbor:"10,keyasint,omitempty"`
}

const (
	tick        = 100 * time.Millisecond
	gap         = 400 * time.Millisecond  // between two reads by one instance; a fifth of the time in which a change must be in force
	retryGap    = 700 * time.Millisecond  // after a failed read
	watchWait   = time.Second             // that the store may hold a read while nothing changes
	readTimeout = 1500 * time.Millisecond // of a read, waiting included
	patience    = 900 * time.Millisecond  // age of knowledge from which the second instance reads
	patienceMor = 250 * time.Millisecond  // more for each further place
	patienceMax = 1800 * time.Millisecond
	pullTimeout = time.Second
	lapseTime   = 2 * time.Second // in which entries that ended in an outage come back
	outageAfter = 6 * time.Second // after an outage, entries that end may come back
	outageFrom  = 3 * time.Second // age of knowledge that counts as an outage
	wholeEvery  = 8 * time.Second // between two reads of everything, in case a change was missed
)

// Pull sets how knowledge is fetched from another instance.
func Pull(f func(ctx context.Context, addr string, k Known) (*Snapshot, error)) func(*View) {
	return func(v *View) { v.pull = f }
}

// Place sets the function that returns this instance's place among those alive,
// from 0.
func Place(f func() int) func(*View) { return func(v *View) { v.place = f } }

// Changed sets what is called after each change that matters, with the address of
// the instance that it was fetched from, "" for one of the store.
func Changed(f func(from string)) func(*View) { return func(v *View) { v.changed = f } }

// Clock sets the clock.
func Clock(c berylclock.Clock) func(*View) { return func(v *View) { v.clock = c } }

// New returns a view that knows nothing before Run.
func New(feed Feed, log zerolog.Logger, opts ...func(*View)) *View {
	v := &View{feed: feed, log: log, clock: berylclock.BootClock, loop: berylloop.New(), place: func() int { return 0 }, changed: func(string) {}, lapsed: map[string]time.Time{}, changes: berylchanges.New()}
	for _, o := range opts {
		o(v)
	}
	v.now.Store(&State{})
	return v
}

// State returns what is known now.
func (v *View) State() *State { return v.now.Load() }

// Age returns how old the knowledge is.
func (v *View) Age() time.Duration { return v.clock().Sub(v.State().Fresh) }

// Calls returns the number of reads of the store.
func (v *View) Calls() int64 { return v.calls.Load() }

// Run keeps the view until ctx ends.
func (v *View) Run(ctx context.Context) {
	v.step(ctx)
	v.loop.Run(ctx, tick, func() { v.step(ctx) })
}

// step reads the store when it is this instance's turn.
func (v *View) step(ctx context.Context) {
	now := v.clock()
	v.lapse(now)
	wait := gap
	if v.failed {
		wait = retryGap
	}
	s := v.State()
	if v.reading || now.Sub(v.called) < wait || (s.Published != nil && now.Sub(s.Fresh) < v.limit()) {
		return
	}
	v.reading, v.called = true, now
	whole := v.lost || s.Revision == 0 || now.Sub(v.whole) > wholeEvery
	go v.read(ctx, whole, s.Revision) // Ends within readTimeout.
}

// limit is the age of knowledge from which this instance reads.
func (v *View) limit() time.Duration {
	n := v.place()
	if n == 0 {
		return 0
	}
	return min(patience+time.Duration(n-1)*patienceMor, patienceMax)
}

func (v *View) read(ctx context.Context, whole bool, after int64) {
	v.calls.Add(1)
	rctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	var b *Batch
	var err error
	if whole {
		b, err = v.feed.All(rctx)
	} else {
		b, err = v.feed.Next(rctx, after, watchWait)
	}
	// Only fails when the view has ended.
	_ = v.loop.Post(ctx, func() { v.took(b, err) })
}

func (v *View) took(b *Batch, err error) {
	v.reading = false
	now := v.clock()
	if err != nil {
		if errors.Is(err, ErrHistory) {
			v.lost = true
		}
		if !v.failed {
			v.log.Warn().Err(err).Int64("revision", v.State().Revision).Msg("store lost")
		}
		v.failed = true
		return
	}
	if v.failed {
		v.log.Info().Int64("revision", b.Revision).Msg("store regained")
	}
	v.failed, v.lost = false, v.lost && !b.Whole
	if b.Revision < v.State().Revision {
		v.log.Info().Int64("revision", b.Revision).Int64("known", v.State().Revision).Msg("read overtaken by a peer")
		b = &Batch{Published: b.Published, Raw: b.Raw, Findings: b.Findings}
	}
	if b.Whole {
		v.whole = now
	}
	if s := v.State(); !s.Fresh.IsZero() && now.Sub(s.Fresh) > outageFrom {
		v.outage = now
	}
	for _, f := range b.Findings {
		v.log.Warn().Str("finding", f).Msg("published item refused")
	}
	v.apply(now, b)
}

// apply makes a new state of the present one and a batch.
func (v *View) apply(now time.Time, b *Batch) {
	old := v.State()
	s := *old
	s.Fresh = now
	s.Revision = max(old.Revision, b.Revision)
	mattered := false
	if b.Published != nil && (old.Published == nil || b.Published.Version > old.Published.Version) {
		s.Published, s.Raw = b.Published, b.Raw
		mattered = true
		v.log.Info().Int64("version", b.Published.Version).Int("rules", b.Published.Rules()).Str("from", "store").Msg("configuration in force")
	}
	if b.Whole || len(b.Set)+len(b.Gone) > 0 {
		listed, changed := v.relist(now, old, b)
		s.Listed, mattered = listed, mattered || changed
		s.index()
	}
	if mattered {
		s.Change = max(s.Revision, old.Change+1)
	}
	v.store(old, &s)
	if mattered {
		v.changed("")
	}
}

// relist returns the list with what a batch tells of it, and whether that matters.
func (v *View) relist(now time.Time, old *State, b *Batch) (listed map[string]beryllisted.Listed, mattered bool) {
	listed = make(map[string]beryllisted.Listed, len(old.Listed)+len(b.Set))
	gone := b.Gone
	if b.Whole {
		there := make(map[string]bool, len(b.Set))
		for _, l := range b.Set {
			there[l.ID] = true
		}
		for id := range old.Listed {
			if !there[id] {
				gone = append(gone, id)
			}
		}
	}
	for id, l := range old.Listed {
		listed[id] = l
	}
	for _, id := range gone {
		mattered = v.drop(now, listed, id) || mattered
	}
	for _, l := range b.Set {
		before, had := listed[l.ID]
		if !had {
			before, had = old.Listed[l.ID]
		}
		if _, waits := v.lapsed[l.ID]; waits {
			delete(v.lapsed, l.ID)
			v.shareLapses()
		}
		listed[l.ID] = l
		if !had || !before.Same(l) {
			mattered = true
			v.log.Info().Str("instance", l.ID).Str("service", l.Service).Bool("leaving", l.Leaving).Int64("revision", b.Revision).Msg("list changed")
		}
	}
	return listed, mattered
}

// store makes s, whose list is indexed, the state after old.
func (v *View) store(old, s *State) {
	if s.Change != old.Change {
		v.mu.Lock()
		v.changes.Record(s.Change, s.Digest, old.Listed, s.Listed)
		v.mu.Unlock()
	}
	v.now.Store(s)
}

// drop takes an entry out. After an outage of the store entries have ended that
// are about to come back, so they stay a moment longer.
func (v *View) drop(now time.Time, listed map[string]beryllisted.Listed, id string) bool {
	l, ok := listed[id]
	if !ok {
		return false
	}
	if _, waits := v.lapsed[id]; waits {
		return false
	}
	if !l.Leaving && !v.outage.IsZero() && now.Sub(v.outage) < outageAfter {
		v.lapsed[id] = now.Add(lapseTime)
		v.shareLapses()
		return false
	}
	delete(listed, id)
	v.log.Info().Str("instance", id).Msg("list entry gone")
	return true
}

// shareLapses copies the lapses for other goroutines.
func (v *View) shareLapses() {
	m := maps.Clone(v.lapsed)
	v.lapses.Store(&m)
}

// lapse drops entries that did not come back.
func (v *View) lapse(now time.Time) {
	var due []string
	for id, until := range v.lapsed {
		if now.After(until) {
			due = append(due, id)
		}
	}
	if len(due) == 0 {
		return
	}
	old := v.State()
	s := *old
	s.Listed = make(map[string]beryllisted.Listed, len(old.Listed))
	for id, l := range old.Listed {
		s.Listed[id] = l
	}
	for _, id := range due {
		delete(v.lapsed, id)
		delete(s.Listed, id)
		v.log.Info().Str("instance", id).Msg("list entry did not come back")
	}
	v.shareLapses()
	s.Change = max(s.Revision, old.Change+1)
	s.index()
	v.store(old, &s)
	v.changed("")
}
