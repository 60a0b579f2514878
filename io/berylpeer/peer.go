package berylpeer

import (
	"context"
	"crypto/subtle"
	"net/http"
	"strconv"
	"time"

	"berylspan/core/berylcall"
	"berylspan/core/berylclass"
	"berylspan/core/berylexchange"
	"berylspan/core/beryloutcome"
	"berylspan/core/berylrefusal"
	"berylspan/core/berylroute"
	"berylspan/core/berylsnapshot"
	"berylspan/io/berylendpoint"
	"berylspan/io/berylheader"
	"berylspan/io/berylrelay"

	"connectrpc.com/connect"
)

// Peer forwards calls to other daemons and serves the calls that they forward. It is safe
// for concurrent use.
type Peer struct {
	secret   string
	relay    *berylrelay.Relay
	snapshot func() *berylsnapshot.Snapshot
	runLocal func(context.Context, *berylcall.Call, *berylexchange.Exchange) *beryloutcome.Outcome
}

// New returns a peer. All daemons share the secret. relay forwards calls to other daemons
// and runLocal runs a call on the backend server of this instance.
func New(secret string, relay *berylrelay.Relay, snapshot func() *berylsnapshot.Snapshot, runLocal func(context.Context, *berylcall.Call, *berylexchange.Exchange) *beryloutcome.Outcome) *Peer {
	return &Peer{secret: secret, relay: relay, snapshot: snapshot, runLocal: runLocal}
}

// Handler serves calls from other daemons and passes requests whose path begins with
// controlPrefix to control. Requests without the shared secret get the status 403.
func (p *Peer) Handler(controlPrefix string, control http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(controlPrefix, control)
	mux.Handle("/", berylendpoint.New(p.route, p.serve, berylendpoint.ResponseMetadata(resultHeaders)))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		secret := r.Header.Get(berylheader.Peer)
		if subtle.ConstantTimeCompare([]byte(secret), []byte(p.secret)) != 1 {
			http.Error(w, "not a daemon of this fleet", http.StatusForbidden)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

func (p *Peer) route(path string) *berylroute.Route { return p.snapshot().Route(path) }

// resultHeaders returns headers that report to the forwarding daemon how the call ended
// and how loaded this instance is.
func resultHeaders(out *beryloutcome.Outcome) http.Header {
	h := make(http.Header, 4)
	h.Set(berylheader.Call, out.CallID)
	h.Set(berylheader.Left, strconv.Itoa(out.RetriesLeft))
	h.Set(berylheader.Cut, strconv.FormatFloat(out.Threshold, 'g', 5, 64))
	h.Set(berylheader.Path, strconv.FormatFloat(out.PathThreshold, 'g', 5, 64))
	if out.ExpectedWait > 0 {
		h.Set(berylheader.Wait, strconv.FormatInt(out.ExpectedWait.Microseconds(), 10))
	}
	return h
}

// serve handles a call and returns the call ID to the forwarding daemon, which checks that
// the answer belongs to its call.
func (p *Peer) serve(ctx context.Context, h http.Header, x *berylexchange.Exchange) *beryloutcome.Outcome {
	out := p.handle(ctx, h, x)
	out.CallID = h.Get(berylheader.Call)
	return out
}

// handle rebuilds the call from the headers that Send sets and runs it.
func (p *Peer) handle(ctx context.Context, h http.Header, x *berylexchange.Exchange) *beryloutcome.Outcome {
	retriesLeft := intHeader(h, berylheader.Left)
	cfg := p.snapshot().Config
	if cfg == nil {
		refusal := berylrefusal.NewNotRun(berylrefusal.Starting, connect.CodeUnavailable, "the instance knows no configuration yet")
		return beryloutcome.Refuse(refusal, retriesLeft)
	}
	route := cfg.Routes[x.Path]
	if route == nil {
		refusal := berylrefusal.NewNotRun(berylrefusal.Route, connect.CodeUnimplemented, "the instance knows no route "+x.Path)
		return beryloutcome.Refuse(refusal, retriesLeft)
	}
	c := &berylcall.Call{
		ID:             h.Get(berylheader.Call),
		Workspace:      h.Get(berylheader.Workspace),
		Route:          route,
		Class:          berylclass.Class(min(max(intHeader(h, berylheader.Class), 0), berylclass.Count-1)),
		Rank:           floatHeader(h, berylheader.Rank),
		RetriesLeft:    retriesLeft,
		Hops:           intHeader(h, berylheader.Hops),
		IdempotencyKey: h.Get(berylheader.Repeat),
	}
	if us, err := strconv.ParseInt(h.Get(berylheader.Start), 10, 64); err == nil {
		c.StartBy = time.Now().Add(time.Duration(us) * time.Microsecond)
	}
	c.Deadline, _ = ctx.Deadline()
	x.Header = berylheader.Clean(h, "")
	return p.runLocal(ctx, c, x)
}
