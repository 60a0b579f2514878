// Package berylingress accepts calls from external callers. It authenticates them, applies
// rate limits and early load shedding, and forwards the calls that remain.
package berylingress

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

// Ingress serves the calls of external callers. The functions that New does not take are
// set with options. Ingress is safe for concurrent use.
type Ingress struct {
	snapshot     func() *berylsnapshot.Snapshot
	policy       berylpolicy.Policy
	guard        *berylinvariant.Guard
	send         func(context.Context, *berylsnapshot.Snapshot, *berylcall.Call, *berylexchange.Exchange) *beryloutcome.Outcome
	recordDemand func(*berylworkspace.Workspace, berylclass.Class) float64
	takeToken    func(context.Context, *berylworkspace.Workspace, berylclass.Class) (time.Time, *berylrefusal.Refusal)
	runOnce      func(context.Context, *berylcall.Call, func() *beryloutcome.Outcome) *beryloutcome.Outcome
	onCall       func(workspace, class string, took time.Duration)
	onRefusal    func(berylrefusalevent.Event)

	mu             sync.Mutex
	pathThresholds map[string]pathThreshold
}

// pathThreshold is a moving average of the lowest admission thresholds that recent calls
// of a route met along their call chains.
type pathThreshold struct {
	value     float64
	updatedAt time.Time
}

const (
	thresholdTTL    = 300 * time.Millisecond
	thresholdWeight = 0.3  // of a new value in the moving average
	minDemand       = 0.01 // of the plan's rate; keeps the ranks of calls of idle workspaces distinct
)

// RateLimit sets the functions of the rate limiter. RecordDemand records a call and
// returns the demand of the workspace relative to its plan's rate, 1 if they are equal.
// TakeToken spends a token for the call and returns the latest time at which the call may
// begin.
func RateLimit(recordDemand func(*berylworkspace.Workspace, berylclass.Class) float64, takeToken func(context.Context, *berylworkspace.Workspace, berylclass.Class) (time.Time, *berylrefusal.Refusal)) func(*Ingress) {
	return func(i *Ingress) { i.recordDemand, i.takeToken = recordDemand, takeToken }
}

// Idempotency sets the function that sends a call unless its idempotency key was used
// before. Without it, every call is sent.
func Idempotency(runOnce func(context.Context, *berylcall.Call, func() *beryloutcome.Outcome) *beryloutcome.Outcome) func(*Ingress) {
	return func(i *Ingress) { i.runOnce = runOnce }
}

// Observers sets the functions that receive the duration of every call and a description
// of every refused call.
func Observers(onCall func(workspace, class string, took time.Duration), onRefusal func(berylrefusalevent.Event)) func(*Ingress) {
	return func(i *Ingress) { i.onCall, i.onRefusal = onCall, onRefusal }
}

// New returns an Ingress that forwards calls with send.
func New(snapshot func() *berylsnapshot.Snapshot, policy berylpolicy.Policy, guard *berylinvariant.Guard, send func(context.Context, *berylsnapshot.Snapshot, *berylcall.Call, *berylexchange.Exchange) *beryloutcome.Outcome, opts ...func(*Ingress)) *Ingress {
	i := &Ingress{
		snapshot:       snapshot,
		policy:         policy,
		guard:          guard,
		send:           send,
		onCall:         func(string, string, time.Duration) {},
		onRefusal:      func(berylrefusalevent.Event) {},
		pathThresholds: map[string]pathThreshold{},
		runOnce: func(_ context.Context, _ *berylcall.Call, send func() *beryloutcome.Outcome) *beryloutcome.Outcome {
			return send()
		},
	}
	for _, o := range opts {
		o(i)
	}
	return i
}

// Handler returns the HTTP handler for external callers.
func (i *Ingress) Handler() http.Handler {
	route := func(path string) *berylroute.Route { return i.snapshot().Route(path) }
	return berylendpoint.New(route, i.serve, berylendpoint.ResponseMetadata(func(out *beryloutcome.Outcome) http.Header {
		return http.Header{berylheader.Call: {out.CallID}}
	}))
}

func (i *Ingress) serve(ctx context.Context, h http.Header, x *berylexchange.Exchange) *beryloutcome.Outcome {
	start := time.Now()
	c := &berylcall.Call{ID: strconv.FormatUint(rand.Uint64(), 36), RetriesLeft: i.policy.MaxRetries}
	out := i.process(ctx, h, c, x)
	out.CallID = c.ID
	class := "none"
	if c.Route != nil {
		class = c.Route.Class.String()
	}
	i.onCall(c.Workspace, class, time.Since(start))
	if r := out.Refusal; r != nil {
		i.onRefusal(berylrefusalevent.Event{Time: start, CallID: c.ID, Workspace: c.Workspace, Route: x.Path, Reason: r.Reason, RunStatus: r.RunStatus(), Text: r.Text})
	}
	return out
}

func (i *Ingress) process(ctx context.Context, h http.Header, c *berylcall.Call, x *berylexchange.Exchange) *beryloutcome.Outcome {
	s := i.snapshot()
	key := berylheader.CallerKey(h)
	w, refusal := authorize(s, key, c, x.Path)
	if refusal != nil {
		return beryloutcome.Refuse(refusal, c.RetriesLeft)
	}
	x.Header = berylheader.Clean(h, key)
	if !c.Route.Streaming {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.Route.Timeout)
		defer cancel()
	}
	c.Deadline, _ = ctx.Deadline()
	demand := 1.0
	if w != nil && i.recordDemand != nil {
		demand = max(i.recordDemand(w, c.Class), minDemand)
	}
	c.Rank = berylhash.Fraction(c.ID) * demand
	// Checked before a token is spent, so that a call refused here costs the workspace nothing.
	if refusal := i.rejectEarly(c); refusal != nil {
		return beryloutcome.Refuse(refusal, c.RetriesLeft)
	}
	if w != nil && i.takeToken != nil {
		if c.StartBy, refusal = i.takeToken(ctx, w, c.Class); refusal != nil {
			return beryloutcome.Refuse(refusal, c.RetriesLeft)
		}
	}
	c.IdempotencyKey = h.Get(berylheader.Idempotency)
	return i.runOnce(ctx, c, func() *beryloutcome.Outcome { return i.forward(ctx, s, key, w, c, x) })
}

// authorize sets the route, the class and the workspace of the call. It returns the
// workspace, which is nil if the call has no key and its route needs none, or a refusal.
func authorize(s *berylsnapshot.Snapshot, key string, c *berylcall.Call, path string) (*berylworkspace.Workspace, *berylrefusal.Refusal) {
	if s.Config == nil {
		return nil, berylrefusal.NewNotRun(berylrefusal.Starting, connect.CodeUnavailable, "no configuration is known yet")
	}
	r := s.Config.Routes[path]
	if r == nil || r.Internal {
		return nil, berylrefusal.NewNotRun(berylrefusal.Route, connect.CodeUnimplemented, "there is no route "+path)
	}
	c.Route, c.Class = r, r.Class
	if key == "" && r.AuthExempt {
		return nil, nil
	}
	w, refusal := authenticate(s.Config, key)
	if refusal != nil {
		return nil, refusal
	}
	c.Workspace = w.Name
	if !r.AuthExempt && !w.Plan.Allows(path) {
		return nil, berylrefusal.NewNotRun(berylrefusal.Plan, connect.CodePermissionDenied, "plan "+w.Plan.Name+" does not include "+path)
	}
	return w, nil
}

// authenticate returns the workspace that key belongs to.
func authenticate(cfg *berylconfig.Config, key string) (*berylworkspace.Workspace, *berylrefusal.Refusal) {
	if key == "" {
		return nil, berylrefusal.NewNotRun(berylrefusal.Key, connect.CodeUnauthenticated, "the call came without a key")
	}
	w, ok := cfg.WorkspaceByKey(beryldigest.Of(key))
	if !ok {
		return nil, berylrefusal.NewNotRun(berylrefusal.Key, connect.CodeUnauthenticated, "the key is not valid")
	}
	return w, nil
}

// rejectEarly refuses a call that a service further down its call chain would probably
// refuse because of overload.
func (i *Ingress) rejectEarly(c *berylcall.Call) *berylrefusal.Refusal {
	if !i.policy.AdmissionLevel {
		return nil
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	p, ok := i.pathThresholds[c.Route.Path]
	if !ok || time.Since(p.updatedAt) > thresholdTTL || c.Order() <= p.value {
		return nil
	}
	r := berylrefusal.NewNotRun(berylrefusal.Overload, connect.CodeResourceExhausted, "a service that this call needs is overloaded and admits only more important calls")
	r.RetryAfter = time.Second
	return r
}

// recordThreshold updates the moving average of the route with the path threshold of a
// finished call, which is 0 when unknown.
func (i *Ingress) recordThreshold(route string, threshold float64) {
	if threshold <= 0 {
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	now := time.Now()
	p, ok := i.pathThresholds[route]
	if !ok || now.Sub(p.updatedAt) > thresholdTTL {
		p.value = beryllevel.AdmitAll
	}
	p.value += (threshold - p.value) * thresholdWeight
	p.updatedAt = now
	i.pathThresholds[route] = p
}

func (i *Ingress) forward(ctx context.Context, s *berylsnapshot.Snapshot, key string, w *berylworkspace.Workspace, c *berylcall.Call, x *berylexchange.Exchange) *beryloutcome.Outcome {
	if refusal := i.recheckKey(key, w); refusal != nil {
		return beryloutcome.Refuse(refusal, c.RetriesLeft)
	}
	allowed := c.RetriesLeft
	if x.Sink != nil && w != nil {
		x = i.withKeyCheck(x, key, w)
	}
	out := i.send(ctx, s, c, x)
	i.guard.Check(out.RetriesLeft >= 0 && out.RetriesLeft <= allowed, berylinvariant.Retries, "root call %s has %d of %d retries left", c.ID, out.RetriesLeft, allowed)
	i.recordThreshold(c.Route.Path, out.PathThreshold)
	return out
}

// recheckKey refuses the call if its key was withdrawn after it was authenticated.
func (i *Ingress) recheckKey(key string, w *berylworkspace.Workspace) *berylrefusal.Refusal {
	if w == nil {
		return nil
	}
	current, refusal := authenticate(i.snapshot().Config, key)
	if refusal != nil {
		return refusal
	}
	i.guard.Check(current.Name == w.Name, berylinvariant.Owner, "a key of workspace %s was used for a call of workspace %s", current.Name, w.Name)
	return nil
}

// withKeyCheck returns a copy of x that checks the key again before each message, which
// ends the stream once the key is withdrawn.
func (i *Ingress) withKeyCheck(x *berylexchange.Exchange, key string, w *berylworkspace.Workspace) *berylexchange.Exchange {
	checked := *x
	checked.Sink = func(header http.Header, message []byte) error {
		if refusal := i.recheckKey(key, w); refusal != nil {
			return berylrefusal.NewMaybeRun(berylrefusal.Key, connect.CodeUnauthenticated, "the key was withdrawn while the answer was on its way")
		}
		return x.Sink(header, message)
	}
	return &checked
}
