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

// Peer sends calls to other daemons and takes theirs. It is safe for concurrent
// use.
type Peer struct {
	secret string
	relay  *berylrelay.Relay
	state  func() *berylsnapshot.Snapshot
	run    func(context.Context, *berylcall.Call, *berylexchange.Exchange) *beryloutcome.Outcome
}

// New returns a peer. Secret is known to all daemons; run runs a call on the
// own backend server.
func New(secret string, relay *berylrelay.Relay, state func() *berylsnapshot.Snapshot, run func(context.Context, *berylcall.Call, *berylexchange.Exchange) *beryloutcome.Outcome) *Peer {
	return &Peer{secret: secret, relay: relay, state: state, run: run}
}

// Handler serves calls of other daemons and, under the prefix of control,
// control messages. Requests without the secret are turned away.
func (p *Peer) Handler(prefix string, control http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(prefix, control)
	mux.Handle("/", berylendpoint.New(p.route, p.serve, berylendpoint.ResponseMetadata(extra)))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got := r.Header.Get(berylheader.Peer)
		if subtle.ConstantTimeCompare([]byte(got), []byte(p.secret)) != 1 {
			http.Error(w, "not a daemon of this fleet", http.StatusForbidden)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

func (p *Peer) route(path string) *berylroute.Route { return p.state().Route(path) }

// extra tells the other daemon how the call ended.
func extra(out *beryloutcome.Outcome) http.Header {
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

func (p *Peer) serve(ctx context.Context, h http.Header, x *berylexchange.Exchange) *beryloutcome.Outcome {
	out := p.take(ctx, h, x)
	out.CallID = h.Get(berylheader.Call)
	return out
}

func (p *Peer) take(ctx context.Context, h http.Header, x *berylexchange.Exchange) *beryloutcome.Outcome {
	left := number(h, berylheader.Left)
	cfg := p.state().Config
	if cfg == nil {
		r := berylrefusal.NewNotRun(berylrefusal.Starting, connect.CodeUnavailable, "the instance knows no configuration yet")
		return beryloutcome.Refuse(r, left)
	}
	route := cfg.Routes[x.Path]
	if route == nil {
		r := berylrefusal.NewNotRun(berylrefusal.Route, connect.CodeUnimplemented, "the instance knows no route "+x.Path)
		return beryloutcome.Refuse(r, left)
	}
	c := &berylcall.Call{
		ID:             h.Get(berylheader.Call),
		Workspace:      h.Get(berylheader.Workspace),
		Route:          route,
		Class:          berylclass.Class(min(max(number(h, berylheader.Class), 0), berylclass.Count-1)),
		Rank:           decimal(h, berylheader.Rank),
		RetriesLeft:    left,
		Hops:           number(h, berylheader.Hops),
		IdempotencyKey: h.Get(berylheader.Repeat),
	}
	if us, err := strconv.ParseInt(h.Get(berylheader.Start), 10, 64); err == nil {
		c.StartBy = time.Now().Add(time.Duration(us) * time.Microsecond)
	}
	c.Deadline, _ = ctx.Deadline()
	x.Header = berylheader.Clean(h, "")
	return p.run(ctx, c, x)
}
