// Package beryldaemon puts the parts of one daemon together.
package beryldaemon

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"berylspan/core/berylinstance"
	"berylspan/core/berylinvariant"
	"berylspan/core/berylpolicy"
	"berylspan/core/berylrefusal"
	"berylspan/core/berylthrottle"
	"berylspan/io/berylbackend"
	"berylspan/io/berylcalltokens"
	"berylspan/io/berylclock"
	"berylspan/io/berylcontrol"
	"berylspan/io/berylcontrolclients"
	"berylspan/io/beryldeduplicator"
	"berylspan/io/beryldispatch"
	"berylspan/io/berylechoclient"
	"berylspan/io/berylegress"
	"berylspan/io/berylendpoint"
	"berylspan/io/berylequalsplit"
	"berylspan/io/berylheader"
	"berylspan/io/berylingress"
	"berylspan/io/berylloads"
	"berylspan/io/berylmetrics"
	"berylspan/io/berylpanic"
	"berylspan/io/berylpeer"
	"berylspan/io/berylplatform"
	"berylspan/io/berylrates"
	"berylspan/io/berylrelay"
	"berylspan/io/berylserver"
	"berylspan/io/berylsettings"
	"berylspan/io/berylshardowner"
	"berylspan/io/berylslots"
	"berylspan/io/beryltls"
	"berylspan/io/beryltransport"
	"berylspan/io/berylwire"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
)

// Daemon is one running daemon.
type Daemon struct {
	set    berylsettings.Settings
	policy berylpolicy.Policy
	log    zerolog.Logger
	dial   beryltransport.Dial
	open   func(addr string) (net.Listener, error)
	guard  *berylinvariant.Guard
	secure *beryltls.TLS // nil without certificates

	metrics *berylmetrics.Metrics
	control *berylcontrol.Control
	owner   *berylshardowner.Owner
	rates   *berylrates.Limiter
	tokens  *berylcalltokens.Registry
	slots   *berylslots.Slots
	backend *berylbackend.Backend
	peer    *berylpeer.Peer
	entry   *berylingress.Ingress
	local   *berylegress.Egress

	idle    []func()              // closes connections that are not in use
	servers []*berylserver.Server // local, peers, callers
	loops   sync.WaitGroup
	cancel  context.CancelFunc
	panics  *berylpanic.Guard

	limitedMu  sync.Mutex
	limitedLog *berylthrottle.Throttle

	failed chan struct{}
	fail   func() // closes failed
}

// Policy sets what the daemon controls.
func Policy(p berylpolicy.Policy) func(*Daemon) { return func(d *Daemon) { d.policy = p } }

// Dial sets how connections to other daemons and the platform are opened.
func Dial(dial beryltransport.Dial) func(*Daemon) { return func(d *Daemon) { d.dial = dial } }

// Listen sets how listeners are opened.
func Listen(open func(addr string) (net.Listener, error)) func(*Daemon) {
	return func(d *Daemon) { d.open = open }
}

// Guard sets the guard that invariants are checked with.
func Guard(g *berylinvariant.Guard) func(*Daemon) { return func(d *Daemon) { d.guard = g } }

// New returns a daemon that does nothing before Start. It fails when the
// certificates of the settings cannot be used.
func New(set berylsettings.Settings, log zerolog.Logger, opts ...func(*Daemon)) (*Daemon, error) {
	d := &Daemon{set: set, policy: berylpolicy.Full(), log: log, dial: beryltransport.NetDial(), open: berylserver.Listen}
	for _, o := range opts {
		o(d)
	}
	d.limitedLog = berylthrottle.New(limitedLogInterval)
	d.panics, d.failed = berylpanic.New(log), make(chan struct{})
	d.fail = sync.OnceFunc(func() { close(d.failed) })
	d.metrics = berylmetrics.New(d.gauges())
	if d.guard == nil {
		d.guard = berylinvariant.New(berylinvariant.OnViolation(d.violated))
	}
	secure, err := beryltls.Load(set.Cert, set.Key, set.CA, log)
	if err != nil {
		return nil, err
	}
	d.secure = secure
	d.build()
	return d, nil
}

// Failed returns a channel that is closed when a part of the daemon that holds control state
// has panicked. Its state may be half changed, so the daemon must be stopped.
func (d *Daemon) Failed() <-chan struct{} { return d.failed }

// runLoop runs a loop that holds control state. A panic would otherwise end the process and
// cut off all calls.
func (d *Daemon) runLoop(part string, run func()) {
	if !d.panics.Run(part, run) {
		d.fail()
	}
}

// violated reports a broken invariant; in strict mode it ends the process.
func (d *Daemon) violated(invariant, text string) {
	d.metrics.CountViolation(invariant)
	d.log.Error().Str("invariant", invariant).Msg(text)
	if d.set.Strict {
		panic("violated invariant " + invariant + ": " + text)
	}
}

func (d *Daemon) gauges() map[string]func() float64 {
	return map[string]func() float64{
		"revision":       func() float64 { return float64(d.revision()) },
		"limit":          func() float64 { n, _, _, _ := d.slots.State(); return float64(n) },
		"running":        func() float64 { _, n, s, _ := d.slots.State(); return float64(n + s) },
		"waiting":        func() float64 { _, _, _, n := d.slots.State(); return float64(n) },
		"level":          func() float64 { return d.slots.Threshold() },
		"platform_calls": func() float64 { return float64(d.control.Calls()) },
	}
}

func (d *Daemon) revision() int64 {
	if cfg := d.control.State().Config; cfg != nil {
		return cfg.Revision
	}
	return 0
}

// backendClient returns a client for the backend server and a function that closes its idle
// connections.
func (d *Daemon) backendClient() (connect.HTTPClient, func()) {
	if d.set.HTTP1 {
		c := berylechoclient.New(beryltransport.NetDial(), berylheader.Call, berylechoclient.OnDiscarded(d.discarded))
		return c, c.CloseIdleConnections
	}
	c := beryltransport.HTTP2(beryltransport.NetDial(), nil)
	return c, c.CloseIdleConnections
}

// build wires the parts; nothing runs yet.
func (d *Daemon) build() {
	self := berylinstance.Instance{ID: d.set.ID, Service: d.set.Service, Zone: d.set.Zone, PeerAddr: d.set.Reach}
	scheme := "http"
	if d.secure != nil {
		scheme = "https"
	}
	toPeers := beryltransport.NewFailoverClient(d.dial, d.secure.Client())
	toPlatform := beryltransport.HTTP1(d.dial)
	toBackend, closeToBackend := d.backendClient()
	d.idle = []func(){toPeers.CloseIdleConnections, toPlatform.CloseIdleConnections, closeToBackend}
	clients := berylcontrolclients.New(toPeers, scheme, d.set.Secret)
	platform := berylplatform.HTTP(d.set.Platform, toPlatform, berylplatform.OnFinding(func(finding string) {
		d.log.Warn().Str("finding", finding).Msg("published instance left out")
	}))
	d.control = berylcontrol.New(self, platform, clients, d.guard, d.log, berylcontrol.Seeds(d.set.Seeds))
	d.owner = berylshardowner.New(self.ID, self.Zone, d.control.State, clients, berylshardowner.Guard(d.guard))
	d.rates = berylrates.New(self.ID, self.Zone, d.control.State, clients)
	d.tokens = berylcalltokens.New()
	d.slots = berylslots.New(d.policy, d.set.Slots, d.guard)
	d.backend = berylbackend.New(d.set.Backend, berylrelay.New(toBackend, "http", berylendpoint.MaxMessageBytes), d.slots, d.tokens, d.guard)
	d.peer = berylpeer.New(d.set.Secret, berylrelay.New(toPeers, scheme, berylendpoint.MaxMessageBytes), d.control.State, d.backend.RunForwarded)
	dispatch := beryldispatch.New(self, d.policy, berylloads.New(), d.guard,
		beryldispatch.Local(d.backend.Run),
		beryldispatch.Remote(d.peer.Send),
		beryldispatch.OnAttempt(d.metrics.CountAttempt))
	repeats := beryldeduplicator.New(d.control.State, clients)
	opts := []func(*berylingress.Ingress){berylingress.Observers(d.metrics.ObserveCall, d.metrics.RecordRefusal), berylingress.Idempotency(repeats.Run)}
	switch {
	case d.policy.EqualSplit:
		split := berylequalsplit.New(d.control.State)
		opts = append(opts, berylingress.RateLimit(split.DemandRatio, split.Take))
	case d.policy.RateLimits:
		opts = append(opts, berylingress.RateLimit(d.rates.RecordCall, d.rates.Take))
	}
	d.entry = berylingress.New(d.control.State, d.policy, d.guard, dispatch.Send, opts...)
	d.local = berylegress.New(d.control.State, d.policy, d.tokens, dispatch.Send, repeats.Run)
}

// Start listens on the local and peers' addresses, and on the callers' one once
// a configuration is known. When ctx ends first, it returns the error of ctx; the daemon is to be
// stopped then, too, as it serves other daemons already.
func (d *Daemon) Start(ctx context.Context) error {
	rpc := berylwire.NewControlServer(&service{control: d.control, owner: d.owner})
	if err := d.listen(d.set.Local, d.localHandler(), nil); err != nil {
		return err
	}
	if err := d.listen(d.set.Peers, d.peer.Handler(rpc.PathPrefix(), rpc), d.secure.Peers()); err != nil {
		return err
	}
	run, cancel := context.WithCancel(context.WithoutCancel(ctx))
	d.cancel = cancel
	d.loops.Go(func() { d.runLoop("membership and configuration", func() { d.control.Run(run) }) })
	d.loops.Go(func() { d.runLoop("shard owner", func() { d.owner.Run(run) }) })
	d.loops.Go(func() { d.runLoop("rate limiter", func() { d.rates.Run(run) }) })
	if err := d.ready(ctx); err != nil {
		return err
	}
	return d.listen(d.set.Callers, d.entry.Handler(), d.secure.Callers(), berylserver.Limit(d.callerLimits()))
}

func (d *Daemon) listen(addr string, h http.Handler, secure *tls.Config, opts ...func(*berylserver.Server)) error {
	ln, err := d.open(addr)
	if err != nil {
		return eris.Wrapf(err, "address %s", addr)
	}
	d.servers = append(d.servers, berylserver.Serve(ln, h, secure, opts...))
	return nil
}

const readyEvery = 20 * time.Millisecond

// ready waits until a configuration is in force.
func (d *Daemon) ready(ctx context.Context) error {
	t := time.NewTicker(readyEvery)
	defer t.Stop()
	for !d.control.Ready(ctx) {
		select {
		case <-ctx.Done():
			return eris.Wrap(ctx.Err(), "no configuration yet")
		case <-t.C:
		}
	}
	d.log.Info().Str("id", d.set.ID).Int64("revision", d.revision()).Msg("ready")
	return nil
}

// Stop is a graceful shutdown: the instance is announced as leaving, new work
// goes elsewhere and the calls that run are finished. Calls that still run shortly before the
// deadline of ctx are refused as unknown and make Stop return an error.
func (d *Daemon) Stop(ctx context.Context) error {
	d.log.Info().Msg("leaving")
	if err := d.owner.Leave(ctx); err != nil {
		d.log.Warn().Err(err).Msg("shards not given up")
	}
	if err := d.control.Leave(ctx); err != nil {
		d.log.Warn().Err(err).Msg("leave not announced")
	}
	berylclock.Sleep(ctx, leaveNotice)
	d.backend.Leave()
	var cutOff atomic.Int64
	finish, cancel := untilAnswers(ctx)
	defer cancel()
	refuse := context.AfterFunc(finish, func() {
		for _, s := range d.servers {
			cutOff.Add(int64(s.Cancel(berylrefusal.NewMaybeRun(berylrefusal.Leaving, connect.CodeUnavailable, "the instance has left before the answer came"))))
		}
	})
	var err error
	// The local listener last: calls of callers and of other daemons may still make nested calls.
	for i := len(d.servers) - 1; i >= 0; i-- {
		if e := d.servers[i].Stop(ctx); e != nil && err == nil {
			err = e
		}
	}
	if !refuse() && err == nil && cutOff.Load() > 0 {
		err = eris.Errorf("%d requests still ran at the end of the stop and were refused", cutOff.Load())
	}
	d.guard.Check(err == nil, berylinvariant.Stop, "a planned stop cut off calls: %v", err)
	d.end()
	return err
}

// untilAnswers returns a context that ends so long before ctx that refusals still arrive.
func untilAnswers(ctx context.Context) (context.Context, context.CancelFunc) {
	end, ok := ctx.Deadline()
	if !ok {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, end.Add(-min(answerTime, time.Until(end)/4)))
}

// answerTime is how long before the end of a stop the calls that are left are refused.
const answerTime = 300 * time.Millisecond

// leaveNotice is how long others get to hear that the instance leaves before it
// refuses new calls.
const leaveNotice = 300 * time.Millisecond

// Kill ends the daemon as a crash would.
func (d *Daemon) Kill() {
	for _, s := range d.servers {
		_ = s.Close()
	}
	d.end()
}

func (d *Daemon) end() {
	if d.cancel != nil {
		d.cancel()
	}
	d.rates.Close()
	d.loops.Wait()
	for _, f := range d.idle {
		f()
	}
}

// Busy returns the limit, the calls that run and wait, and the admission level.
func (d *Daemon) Busy() (limit, running, waiting int, level float64) {
	limit, calls, streams, waiting := d.slots.State()
	return limit, calls + streams, waiting, d.slots.Threshold()
}

// Addresses returns the addresses of the callers', peers' and local listener.
func (d *Daemon) Addresses() (callers, peers, local string) {
	return d.servers[2].Addr(), d.servers[1].Addr(), d.servers[0].Addr()
}
