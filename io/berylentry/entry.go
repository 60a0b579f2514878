// Package berylentry takes calls from callers.
package berylentry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"berylspan/core/berylcall"
	"berylspan/core/berylclass"
	"berylspan/core/berylconfig"
	"berylspan/core/beryldigest"
	"berylspan/core/berylexchange"
	"berylspan/core/berylhash"
	"berylspan/core/berylinvariant"
	"berylspan/core/beryllevel"
	"berylspan/core/beryloutcome"
	"berylspan/core/berylpolicy"
	"berylspan/core/berylrefusal"
	"berylspan/core/berylrefusalevent"
	"berylspan/core/berylroute"
	"berylspan/core/berylsnapshot"
	"berylspan/core/berylworkspace"
	"berylspan/io/berylendpoint"
	"berylspan/io/berylheader"

	"connectrpc.com/connect"
)

// Entry is safe for concurrent use. Its function fields are set by options.
type Entry struct {
	state  func() *berylsnapshot.Snapshot
	policy berylpolicy.Policy
	guard  *berylinvariant.Guard
	send   func(context.Context, *berylsnapshot.Snapshot, *berylcall.Call, *berylexchange.Exchange) *beryloutcome.Outcome
	use    func(*berylworkspace.Workspace, berylclass.Class) float64
	take   func(context.Context, *berylworkspace.Workspace, berylclass.Class) (time.Time, *berylrefusal.Refusal)
	once   func(context.Context, *berylcall.Call, func() *beryloutcome.Outcome) *beryloutcome.Outcome
	done   func(workspace, class string, took time.Duration)
	refuse func(berylrefusalevent.Event)

	mu    sync.Mutex
	paths map[string]path
}

// path is the lowest admission level that calls of a route met lately.
type path struct {
	cut float64
	at  time.Time
}

const (
	pathLife   = 300 * time.Millisecond
	pathSmooth = 0.3  // weight of a new level
	leastUse   = 0.01 // so that ranks of idle workspaces still differ
)

// Rates sets how a call is recorded, which tells how much of its rate the
// workspace asks for, 1 for all, and how the call's token is spent.
func Rates(use func(*berylworkspace.Workspace, berylclass.Class) float64, take func(context.Context, *berylworkspace.Workspace, berylclass.Class) (time.Time, *berylrefusal.Refusal)) func(*Entry) {
	return func(e *Entry) { e.use, e.take = use, take }
}

// Repeats sets how a call is kept from running twice under one idempotency key.
func Repeats(f func(context.Context, *berylcall.Call, func() *beryloutcome.Outcome) *beryloutcome.Outcome) func(*Entry) {
	return func(e *Entry) { e.once = f }
}

// Report sets the functions told of every call and every refusal.
func Report(done func(workspace, class string, took time.Duration), refuse func(berylrefusalevent.Event)) func(*Entry) {
	return func(e *Entry) { e.done, e.refuse = done, refuse }
}

// New returns an entry that sends calls by send.
func New(state func() *berylsnapshot.Snapshot, policy berylpolicy.Policy, guard *berylinvariant.Guard, send func(context.Context, *berylsnapshot.Snapshot, *berylcall.Call, *berylexchange.Exchange) *beryloutcome.Outcome, opts ...func(*Entry)) *Entry {
	e := &Entry{
		state:  state,
		policy: policy,
		guard:  guard,
		send:   send,
		done:   func(string, string, time.Duration) {},
		refuse: func(berylrefusalevent.Event) {},
		paths:  map[string]path{},
		once: func(_ context.Context, _ *berylcall.Call, send func() *beryloutcome.Outcome) *beryloutcome.Outcome {
			return send()
		},
	}
	for _, o := range opts {
		o(e)
	}
	return e
}

// Handler serves callers.
func (e *Entry) Handler() http.Handler {
	route := func(p string) *berylroute.Route { return e.state().Route(p) }
	return berylendpoint.New(route, e.serve, berylendpoint.Extra(func(out *beryloutcome.Outcome) http.Header {
		return http.Header{berylheader.Call: {out.CallID}}
	}))
}

func (e *Entry) serve(ctx context.Context, h http.Header, x *berylexchange.Exchange) *beryloutcome.Outcome {
	begun := time.Now()
	c := &berylcall.Call{ID: strconv.FormatUint(rand.Uint64(), 36), RetriesLeft: e.policy.MaxRetries}
	out := e.run(ctx, h, c, x)
	out.CallID = c.ID
	class := "none"
	if c.Route != nil {
		class = c.Route.Class.String()
	}
	e.done(c.Workspace, class, time.Since(begun))
	if r := out.Refusal; r != nil {
		e.refuse(berylrefusalevent.Event{Time: begun, CallID: c.ID, Workspace: c.Workspace, Route: x.Path, Reason: r.Reason, RunStatus: r.RunStatus(), Text: r.Text})
	}
	return out
}

func (e *Entry) run(ctx context.Context, h http.Header, c *berylcall.Call, x *berylexchange.Exchange) *beryloutcome.Outcome {
	s := e.state()
	key := berylheader.CallerKey(h)
	w, ref := admit(s, key, c, x.Path)
	if ref != nil {
		return beryloutcome.Refuse(ref, c.RetriesLeft)
	}
	x.Header = berylheader.Clean(h, key)
	if !c.Route.Streaming {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.Route.Timeout)
		defer cancel()
	}
	c.Deadline, _ = ctx.Deadline()
	use := 1.0
	if w != nil && e.use != nil {
		use = max(e.use(w, c.Class), leastUse)
	}
	c.Rank = berylhash.Fraction(c.ID) * use
	// Before the token: a call refused here costs the workspace nothing.
	if ref := e.early(c); ref != nil {
		return beryloutcome.Refuse(ref, c.RetriesLeft)
	}
	if w != nil && e.take != nil {
		if c.StartBy, ref = e.take(ctx, w, c.Class); ref != nil {
			return beryloutcome.Refuse(ref, c.RetriesLeft)
		}
	}
	c.IdempotencyKey = h.Get(berylheader.Idempotency)
	return e.once(ctx, c, func() *beryloutcome.Outcome { return e.forward(ctx, s, key, w, c, x) })
}

// admit finds the route and the workspace whose key came with the call.
func admit(s *berylsnapshot.Snapshot, key string, c *berylcall.Call, p string) (*berylworkspace.Workspace, *berylrefusal.Refusal) {
	if s.Config == nil {
		return nil, berylrefusal.NewNotRun(berylrefusal.Starting, connect.CodeUnavailable, "no configuration is known yet")
	}
	r := s.Config.Routes[p]
	if r == nil || r.Internal {
		return nil, berylrefusal.NewNotRun(berylrefusal.Route, connect.CodeUnimplemented, "there is no route "+p)
	}
	c.Route, c.Class = r, r.Class
	if key == "" && r.AuthExempt {
		return nil, nil
	}
	w, ref := owner(s.Config, key)
	if ref != nil {
		return nil, ref
	}
	c.Workspace = w.Name
	if !r.AuthExempt && !w.Plan.Allows(p) {
		return nil, berylrefusal.NewNotRun(berylrefusal.Plan, connect.CodePermissionDenied, "plan "+w.Plan.Name+" does not include "+p)
	}
	return w, nil
}

func owner(cfg *berylconfig.Config, key string) (*berylworkspace.Workspace, *berylrefusal.Refusal) {
	if key == "" {
		return nil, berylrefusal.NewNotRun(berylrefusal.Key, connect.CodeUnauthenticated, "the call came without a key")
	}
	w, ok := cfg.WorkspaceByKey(beryldigest.Of(key))
	if !ok {
		return nil, berylrefusal.NewNotRun(berylrefusal.Key, connect.CodeUnauthenticated, "the key is not valid")
	}
	return w, nil
}

// early refuses a call that would be refused deeper in the chain.
func (e *Entry) early(c *berylcall.Call) *berylrefusal.Refusal {
	if !e.policy.AdmissionLevel {
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	p, ok := e.paths[c.Route.Path]
	if !ok || time.Since(p.at) > pathLife || c.Order() <= p.cut {
		return nil
	}
	r := berylrefusal.NewNotRun(berylrefusal.Overload, connect.CodeResourceExhausted, "a service that this call needs is overloaded and admits only more important calls")
	r.RetryAfter = time.Second
	return r
}

// learn takes the admission level that a call of the route met.
func (e *Entry) learn(route string, cut float64) {
	if cut <= 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	p, ok := e.paths[route]
	if !ok || now.Sub(p.at) > pathLife {
		p.cut = beryllevel.AdmitAll
	}
	p.cut += (cut - p.cut) * pathSmooth
	p.at = now
	e.paths[route] = p
}

func (e *Entry) forward(ctx context.Context, s *berylsnapshot.Snapshot, key string, w *berylworkspace.Workspace, c *berylcall.Call, x *berylexchange.Exchange) *beryloutcome.Outcome {
	if ref := e.still(key, w); ref != nil {
		return beryloutcome.Refuse(ref, c.RetriesLeft)
	}
	allowed := c.RetriesLeft
	if x.Sink != nil && w != nil {
		x = e.watched(x, key, w)
	}
	out := e.send(ctx, s, c, x)
	e.guard.Check(out.RetriesLeft >= 0 && out.RetriesLeft <= allowed, berylinvariant.Retries, "root call %s ended with %d of %d retries", c.ID, out.RetriesLeft, allowed)
	e.learn(c.Route.Path, out.PathThreshold)
	return out
}

// still refuses when the key was withdrawn meanwhile.
func (e *Entry) still(key string, w *berylworkspace.Workspace) *berylrefusal.Refusal {
	if w == nil {
		return nil
	}
	now, ref := owner(e.state().Config, key)
	if ref != nil {
		return ref
	}
	e.guard.Check(now.Name == w.Name, berylinvariant.Owner, "a key of %s ran a call of %s", now.Name, w.Name)
	return nil
}

// watched ends a stream when its key is withdrawn.
func (e *Entry) watched(x *berylexchange.Exchange, key string, w *berylworkspace.Workspace) *berylexchange.Exchange {
	y := *x
	y.Sink = func(header http.Header, message []byte) error {
		if ref := e.still(key, w); ref != nil {
			return berylrefusal.NewMaybeRun(berylrefusal.Key, connect.CodeUnauthenticated, "the key was withdrawn while the answer was on its way")
		}
		return x.Sink(header, message)
	}
	return &y
}
