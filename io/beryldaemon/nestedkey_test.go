package beryldaemon

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"berylspan/core/berylrefusal"
	"berylspan/io/berylframe"
	"berylspan/io/berylheader"
	"berylspan/io/berylserver"
)

// repeatingBackend is a backend server that, for a call to "/s.S/Outer", makes a call to "/s.S/Inner"
// twice with one idempotency key.
type repeatingBackend struct {
	fixture *fixture
	local   string

	mu      sync.Mutex
	repeat  func(call func(context.Context))
	inner   func()         // the work of a nested call
	runs    map[string]int // nested calls, by key
	repeats int            // nested calls that were refused because their key was used
}

func (b *repeatingBackend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // An error shows in the caller's result.
	b.mu.Lock()
	repeat, inner := b.repeat, b.inner
	if k := r.Header.Get(berylheader.Idempotency); r.URL.Path == "/s.S/Inner" && k != "" {
		b.runs[k]++
	}
	b.mu.Unlock()
	if r.URL.Path == "/s.S/Inner" {
		inner()
	} else {
		id, _ := uuid.NewV7()
		repeat(func(ctx context.Context) { b.callInner(ctx, r.Header.Get(berylheader.Token), id.String()) })
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(berylheader.Call, r.Header.Get(berylheader.Call))
	_, _ = io.WriteString(w, "{}") // An error shows in the caller's result.
}

func (b *repeatingBackend) callInner(ctx context.Context, token, idempotencyKey string) {
	c := connect.NewClient[berylframe.Frame, berylframe.Frame](b.fixture.client, "http://"+b.local+"/s.S/Inner", connect.WithCodec(berylframe.Codec(berylframe.JSON)))
	req := connect.NewRequest(&berylframe.Frame{Codec: berylframe.JSON, Data: []byte(`{}`)})
	req.Header().Set(berylheader.Token, token)
	req.Header().Set(berylheader.Idempotency, idempotencyKey)
	_, err := c.CallUnary(ctx, req)
	var ce *connect.Error
	if errors.As(err, &ce) && ce.Meta().Get(berylheader.Reason) == berylrefusal.Repeat {
		b.mu.Lock()
		b.repeats++
		b.mu.Unlock()
	}
}

func (b *repeatingBackend) set(repeat func(call func(context.Context)), inner func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.repeat, b.inner, b.runs, b.repeats = repeat, inner, map[string]int{}, 0
}

// counts returns the number of keys whose call ran, of those whose call ran more than once, and of the
// calls that were refused because their key was used.
func (b *repeatingBackend) counts() (ran, twice, repeats int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, n := range b.runs {
		if n > 1 {
			twice++
		}
	}
	return len(b.runs), twice, b.repeats
}

// A backend server whose nested call is under way, or whose answer it did not get, makes it again with
// its idempotency key. The owner of the key took the call's ID, that of the root, as proof of the same
// claim, and both calls ran.
func TestServerMakesItsNestedCallAgainUnderOneKey(t *testing.T) {
	const patience, work = 50 * time.Millisecond, 150 * time.Millisecond
	ctx := t.Context()
	f := newFixture(t, nil, nil, listed{Path: "/s.S/Outer", Service: "s"}, listed{Path: "/s.S/Inner", Service: "s", Inner: true})
	n := f.add("s1", "s")
	b := &repeatingBackend{fixture: f, local: n.set.Local}
	b.set(func(call func(context.Context)) { call(ctx) }, func() {})
	server, err := berylserver.Start("127.0.0.1:0", b, nil)
	require.NoError(t, err)
	t.Cleanup(func() { _ = server.Close() })
	n.set.Backend = server.Addr()
	f.start()
	f.until("a keyed nested call runs", func() bool {
		err := f.call(n, "/s.S/Outer", "")
		ran, _, _ := b.counts()
		return err == nil && ran > 0
	})
	const calls = 10
	scenarios := []struct {
		name   string
		repeat func(call func(context.Context))
		inner  func()
	}{
		{"at once", func(call func(context.Context)) {
			var both sync.WaitGroup
			both.Go(func() { call(ctx) })
			both.Go(func() { call(ctx) })
			both.Wait()
		}, func() { time.Sleep(work) }},
		{"after it gave up", func(call func(context.Context)) {
			impatient, giveUp := context.WithCancel(ctx)
			time.AfterFunc(patience, giveUp)
			call(impatient)
			call(ctx)
		}, func() { time.Sleep(work) }},
		{"after the answer was lost", func(call func(context.Context)) {
			call(ctx)
			call(ctx)
		}, func() { panic(http.ErrAbortHandler) }},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			b.set(s.repeat, s.inner)
			for range calls {
				require.NoError(t, f.call(n, "/s.S/Outer", ""))
			}
			ran, twice, repeats := b.counts()
			require.Equal(t, calls, ran, "keys whose call ran")
			require.Zero(t, twice, "keys whose call ran twice, of %d", ran)
			require.Equal(t, calls, repeats, "calls refused because their key was used")
		})
	}
}
