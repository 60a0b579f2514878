// Package berylbeside runs requests on the backend server beside the instance.
package berylbeside

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"berylspan/core/berylcalls"
	"berylspan/core/berylend"
	"berylspan/core/berylinflight"
	"berylspan/core/berylline"
	"berylspan/core/beryllisted"
	"berylspan/core/berylnames"
	"berylspan/io/berylpool"
	"berylspan/io/berylreply"
	"berylspan/io/berylwork"
)

// Beside is safe for concurrent use. Own returns the list's entry of the backend
// server, false while unknown.
type Beside struct {
	names berylnames.Names
	own   func() (beryllisted.Registration, bool)
	seen  func(w *berylwork.Work, waited time.Duration, out *berylreply.Reply)

	mu       sync.Mutex
	pool     *berylpool.Pool
	addr     string
	line     *berylline.Line[*waiter]
	calls    *berylcalls.Calls
	inflight *berylinflight.Inflight
	running  map[string]int // by rule
	ranks    map[string]int // of the rules that ran here last
	slots    int
	ghosts   int // requests that the server still works on after they were given up
	ghostsAt time.Time
	leaving  bool
}

type waiter struct {
	ready   chan struct{}
	expired bool
}

const (
	firstLimit = 16                    // while the list says nothing of the server
	useful     = 0.95                  // part of the slots from which some servers slow down
	replyTime  = 25 * time.Millisecond // before a waiting request is useless it is given back, so that who sent it learns that it has not run
	ghostLife  = 2 * time.Second       // until what a server said of its load is old
)

// Seen sets what is told of every request that ends here.
func Seen(f func(w *berylwork.Work, waited time.Duration, out *berylreply.Reply)) func(*Beside) {
	return func(b *Beside) { b.seen = f }
}

// New returns a beside for the backend server at addr.
func New(addr string, names berylnames.Names, own func() (beryllisted.Registration, bool), opts ...func(*Beside)) *Beside {
	b := &Beside{
		names: names, own: own, addr: addr,
		seen:     func(*berylwork.Work, time.Duration, *berylreply.Reply) {},
		pool:     berylpool.New(addr, names),
		line:     berylline.New[*waiter](firstLimit),
		calls:    berylcalls.New(),
		inflight: berylinflight.New(),
		running:  map[string]int{},
		ranks:    map[string]int{},
	}
	for _, o := range opts {
		o(b)
	}
	return b
}

// Move changes the address of the backend server.
func (b *Beside) Move(addr string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if addr == b.addr {
		return
	}
	b.pool.Close()
	b.addr, b.pool = addr, berylpool.New(addr, b.names)
}

// Leave refuses new requests from now on.
func (b *Beside) Leave() {
	b.mu.Lock()
	b.leaving = true
	b.mu.Unlock()
}

// Busy returns the requests that run or wait.
func (b *Beside) Busy() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	running, waiting, _ := b.line.State()
	return running + waiting
}

// Load returns the requests that run or wait and the limit.
func (b *Beside) Load() (busy, limit int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	running, waiting, limit := b.line.State()
	return running + waiting, limit
}

// Run runs the work, waiting for its turn.
func (b *Beside) Run(ctx context.Context, w *berylwork.Work) *berylreply.Reply {
	start := time.Now()
	out := b.admit(w)
	var waited time.Duration
	if out == nil {
		out = b.bound(w)
	}
	if out == nil {
		ask := berylline.Ask{Rank: w.Rank, Call: w.Call, Kind: w.Rule, Left: w.Until.Sub(start), Aim: w.Aim.Sub(start)}
		out = b.enter(ctx, ask)
		waited = time.Since(start)
		if out == nil {
			out = b.send(ctx, w, ask)
		}
	}
	b.tell(w.Rule, out)
	out.Waited = waited
	b.seen(w, waited, out)
	return out
}

// admit refuses work that is not for this server.
func (b *Beside) admit(w *berylwork.Work) *berylreply.Reply {
	own, known := b.own()
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.leaving {
		return berylreply.Fail(berylend.Unsent, berylreply.Leaving)
	}
	if known && (own.Service != w.Service || (own.ID != w.Instance && own.Born >= w.Born)) {
		out := berylreply.Fail(berylend.Unsent, berylreply.Other)
		out.Actual = own.ID
		return out
	}
	if known && own.Slots > 0 && own.Slots != b.slots {
		b.slots = own.Slots
	}
	b.relimit()
	return nil
}

// relimit follows the slots of the server, less those that it still spends on
// requests that nobody waits for.
func (b *Beside) relimit() {
	if b.slots == 0 {
		return
	}
	limit := int(float64(b.slots) * useful)
	if time.Since(b.ghostsAt) < ghostLife {
		limit -= b.ghosts
	}
	b.line.SetLimit(max(limit, 1+b.slots/4))
}

// enter waits for a turn; nil says that it has come.
func (b *Beside) enter(ctx context.Context, ask berylline.Ask) *berylreply.Reply {
	wt := &waiter{ready: make(chan struct{})}
	b.mu.Lock()
	now := time.Now()
	verdict, wait := b.line.Arrive(now, ask, wt)
	b.mu.Unlock()
	switch verdict {
	case berylline.Start:
		return nil
	case berylline.Refuse:
		out := berylreply.Fail(berylend.Unsent, berylreply.Full)
		out.After = wait
		return out
	}
	timer := time.NewTimer(ask.Left - replyTime)
	defer timer.Stop()
	select {
	case <-wt.ready:
		if wt.expired {
			return berylreply.Fail(berylend.Unsent, berylreply.Expired)
		}
		return nil
	case <-ctx.Done():
	case <-timer.C:
	}
	b.mu.Lock()
	gone := b.line.Leave(func(o *waiter) bool { return o == wt })
	b.mu.Unlock()
	if !gone {
		<-wt.ready
		if !wt.expired {
			b.done(ask, 0, false)
		}
	}
	return berylreply.Fail(berylend.Unsent, berylreply.Expired)
}

// done frees a slot and starts those that waited for it.
func (b *Beside) done(ask berylline.Ask, took time.Duration, ran bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.line.Done(ask, took, ran)
	for {
		wt, expired, ok := b.line.Next(time.Now())
		if !ok {
			return
		}
		wt.expired = expired
		close(wt.ready)
	}
}

func (b *Beside) send(ctx context.Context, w *berylwork.Work, ask berylline.Ask) *berylreply.Reply {
	began := time.Now()
	b.mu.Lock()
	pool := b.pool
	b.calls.Start(began, w.Rule)
	if !w.Call {
		b.inflight.Begin(began, w.Rule, w.Step, w.Aim.Sub(began))
	}
	b.running[w.Rule]++
	b.ranks[w.Rule] = w.Rank
	b.mu.Unlock()
	h := w.Header.Clone()
	h.Set(b.names.TimeLeft, strconv.FormatInt(max(1, w.Until.Sub(began).Milliseconds()), 10))
	h.Set(b.names.RequestID, w.ID)
	set(h, b.names.CallerService, w.Caller)
	set(h, b.names.Workspace, w.Workspace)
	set(h, b.names.TargetServer, w.Instance)
	free := func() {
		now := time.Now()
		b.mu.Lock()
		b.calls.End(now, w.Rule)
		b.running[w.Rule]--
		b.mu.Unlock()
		b.done(ask, now.Sub(began), ctx.Err() == nil)
	}
	out := pool.Send(ctx, &berylpool.Request{
		Method: w.Method, URI: w.URI, Host: w.Host, ID: w.ID, Header: h,
		Body: w.Body, Stream: w.Stream, Length: w.Length, Once: !w.Repeatable,
	}, free)
	if !w.Call {
		b.ended(ctx, w, out)
	}
	if out.Header != nil {
		b.heard(out.Header.Get(b.names.ServerLoad))
	}
	return out
}

func set(h http.Header, name, value string) {
	if value == "" {
		h.Del(name)
		return
	}
	h.Set(name, value)
}

// heard takes the load that the server tells: running, waiting and slots. What
// it has beyond the requests sent from here are requests that were given up.
func (b *Beside) heard(load string) {
	running, rest, _ := strings.Cut(load, ",")
	waiting, _, ok := strings.Cut(rest, ",")
	if !ok {
		return
	}
	n, err := strconv.Atoi(strings.TrimSpace(running))
	m, err2 := strconv.Atoi(strings.TrimSpace(waiting))
	if err != nil || err2 != nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	own, _, _ := b.line.State()
	b.ghosts = max(0, n+m-own-1)
	b.ghostsAt = time.Now()
	b.relimit()
}

// tell adds the state of the line to a reply.
func (b *Beside) tell(rule string, out *berylreply.Reply) {
	b.mu.Lock()
	defer b.mu.Unlock()
	running, waiting, limit := b.line.State()
	out.Told = true
	out.Busy, out.Limit, out.Hold = running+waiting, limit, b.line.Hold(rule)
}
