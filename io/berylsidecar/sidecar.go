// Package berylsidecar puts together the daemon that serves plain HTTP callers
// beside one backend server.
package berylsidecar

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"berylspan/core/berylattempt"
	"berylspan/core/berylheadernames"
	"berylspan/core/berylhttpstatus"
	"berylspan/core/berylramp"
	"berylspan/core/berylregions"
	"berylspan/core/berylregistration"
	"berylspan/core/berylreserve"
	"berylspan/core/berylserverstatus"
	"berylspan/core/berylthrottle"
	"berylspan/io/berylclock"
	"berylspan/io/berylconnpool"
	"berylspan/io/berylcrashes"
	"berylspan/io/berylgossip"
	"berylspan/io/berylhttpserver"
	"berylspan/io/berylmemory"
	"berylspan/io/berylmesh"
	"berylspan/io/berylpanic"
	"berylspan/io/berylproxy"
	"berylspan/io/berylratelimiter"
	"berylspan/io/berylreply"
	"berylspan/io/berylrequest"
	"berylspan/io/berylrunner"
	"berylspan/io/berylsocket"
	"berylspan/io/berylstorecache"
	"berylspan/io/beryltransport"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
)

// Sidecar is one running daemon.
type Sidecar struct {
	set     atomic.Pointer[Settings]
	regions atomic.Pointer[berylregions.Regions]
	names   berylheadernames.Names
	log     zerolog.Logger
	start   int64

	cache  *berylstorecache.StoreCache
	gossip *berylgossip.Gossip
	mesh   *berylmesh.Mesh
	runner *berylrunner.Runner
	quotas *berylratelimiter.RateLimiter

	crashes *berylcrashes.Crashes

	reserveMu sync.Mutex
	reserve   *berylreserve.Reserve
	ramp      *berylramp.Ramp

	proxy        *berylproxy.Proxy
	callerServer *berylhttpserver.Server
	meshServer   *berylmesh.Server
	meter        *meter

	memory     *berylmemory.Memory // held for callers and for requests of other instances
	limitedMu  sync.Mutex
	limitedLog *berylthrottle.Throttle

	guard *berylpanic.Guard

	sheddingMu      sync.Mutex
	sheddingService string   // that sheds most, "" while none does
	sheddingServers sync.Map // whether its server sheds, by host of the instance; only of those that have

	udp         *net.UDPConn
	stateClient *http.Client
	servers     []*http.Server
	closing     atomic.Bool   // callers are told to go elsewhere
	leaving     atomic.Bool   // other instances are told too
	turn        atomic.Uint32 // of the peers in other data centres
	cancel      context.CancelFunc
	loops       sync.WaitGroup
}

// New returns a sidecar that is not started.
func New(set Settings, names berylheadernames.Names, source berylstorecache.Source, log zerolog.Logger) *Sidecar {
	s := &Sidecar{names: names, log: log, start: time.Now().UnixMilli(), meter: newMeter(), reserve: berylreserve.New(), ramp: berylramp.New(time.Now())}
	s.applySettings(set)
	s.stateClient = &http.Client{Transport: beryltransport.CheckStatus(&http.Transport{
		DialContext: (&net.Dialer{Timeout: stateDialTimeout, Control: berylmesh.SetTCPUserTimeout}).DialContext, IdleConnTimeout: stateIdleTimeout,
		MaxResponseHeaderBytes: maxHeadSize, DisableCompression: true,
	})}
	s.guard = berylpanic.New(log, berylpanic.OnPanic(s.meter.panicked))
	s.memory, s.limitedLog = berylmemory.New(memoryLimits(set)), berylthrottle.New(limitedLogInterval)
	s.meter.watchMemory(s.memory.Held)
	s.mesh = berylmesh.New(names, berylmesh.Guard(s.guard.Run), berylmesh.Memory(s.memory, func() { s.limited(limitedPeer) }))
	s.cache = berylstorecache.New(source, log,
		berylstorecache.Guard(s.guard.Run),
		berylstorecache.Fetch(s.pull),
		berylstorecache.StartupPeers(s.startupPeers),
		berylstorecache.Rank(s.place),
		berylstorecache.OnChange(s.changed))
	s.crashes = berylcrashes.New(log, s.sendCrashes)
	s.quotas = berylratelimiter.New(set.Host, s.passQuota)
	s.proxy = berylproxy.New(&berylproxy.Proxy{
		Names: names, Host: set.Host, Zone: set.Zone, Port: set.Work,
		Service: func() string { return s.set.Load().Service },
		Regions: s.regions.Load,
		State:   s.cache.State, StateAge: s.cache.Age,
		RunLocal:    s.run,
		SendRemote:  s.mesh.Send,
		CallStarted: func(rule string) { s.runner.CallStarted(rule) },
		CallEnded:   func(took, waited time.Duration, failed bool) { s.runner.CallEnded(took, waited, failed) },
		CallRank:    func(rule string) int { return s.runner.CallRank(rule) },
		Quotas:      s.quotas,
		Log:         log,
		Observe:     s.meter.request,

		CheckSuspect: s.crashes.Check,
	})
	s.runner = berylrunner.New(set.Backend, names, s.own, berylrunner.OnRequestEnd(s.logWork), berylrunner.OnServerStatus(s.serverStatus),
		berylrunner.OnServerEnd(s.serverEnded), berylrunner.OnShedding(func() { s.say(true) }), berylrunner.OnAnswered(s.crashes.Answered), berylrunner.CheckSuspect(s.crashes.Check), berylrunner.Guard(s.guard.Run),
		berylrunner.Evacuated(s.evacuated), berylrunner.IsListed(s.isListed), berylrunner.ColdStart(s.coldStart), berylrunner.OnColdChange(s.coldChanged),
		berylrunner.OnDiscarded(s.discarded), berylrunner.MaxConns(s.maxConns))
	s.meter.watchServer(s.runner.ServerStatus)
	s.meter.watchCold(s.runner.Cold)
	s.meter.watchEvenness(s.proxy.Evenness)
	s.meter.watchShedding(s.runner.Shedding, s.proxy.Shedding)
	s.meter.watchSuspects(s.crashes.Suspects)
	s.meter.watchEvacuations(func() int { return len(s.cache.State().Evacuated) }, s.evacuated)
	return s
}

// run runs a request on the local backend server. After a panic it is unknown whether the
// request ran.
func (s *Sidecar) run(ctx context.Context, w *berylrequest.Request) *berylreply.Reply {
	reply := berylreply.NewFailure(berylattempt.Unknown, berylreply.ReasonPanic)
	s.guard.Run("work", func() { reply = s.runner.Run(ctx, w) })
	return reply
}

// own returns the list's entry of the local backend server. Each request takes a
// connection, so it runs no more at once than it accepts connections.
func (s *Sidecar) own() (berylregistration.Registration, bool) {
	l, ok := s.cache.State().ServersByAddr[s.set.Load().Backend]
	if conns := s.maxConns(); conns > 0 {
		l.Slots = min(l.Slots, conns)
	}
	return l, ok
}

// maxConns returns how many connections the local backend server accepts, 0 if that is unknown.
func (s *Sidecar) maxConns() int {
	st := s.cache.State()
	if st.Config == nil {
		return 0
	}
	return st.Config.MaxConns[st.ServersByAddr[s.set.Load().Backend].Service]
}

// Start listens and begins to learn. Callers are refused until a configuration
// is known.
func (s *Sidecar) Start(ctx context.Context) error {
	run, cancel := context.WithCancel(context.WithoutCancel(ctx))
	s.cancel = cancel
	set := s.set.Load()
	lc := &net.ListenConfig{Control: berylmesh.SetTCPUserTimeout}
	callers, err := (&net.ListenConfig{Control: berylsocket.SetReadBuffer(callerSocketBytes)}).Listen(ctx, "tcp", set.Callers)
	if err != nil {
		return eris.Wrap(err, "callers")
	}
	peers, err := lc.Listen(ctx, "tcp", net.JoinHostPort(set.Host, set.Port))
	if err != nil {
		return eris.Wrap(err, "peers")
	}
	work, err := (&net.ListenConfig{Control: berylmesh.SetSocketOptions}).Listen(ctx, "tcp", net.JoinHostPort(set.Host, set.Work))
	if err != nil {
		return eris.Wrap(err, "work")
	}
	ready, err := new(net.ListenConfig).Listen(ctx, "tcp", set.Ready)
	if err != nil {
		return eris.Wrap(err, "readiness")
	}
	pc, err := new(net.ListenConfig).ListenPacket(ctx, "udp", net.JoinHostPort(set.Host, set.Port))
	if err != nil {
		return eris.Wrap(err, "heartbeats")
	}
	udp, ok := pc.(*net.UDPConn)
	if !ok {
		return eris.New("no datagram socket")
	}
	s.udp = udp
	s.gossip = berylgossip.New(udp, port(set.Port), s.hear(run), s.hearQuota, berylgossip.OnCrashes(s.hearCrashes), berylgossip.Guard(s.guard.Run))
	s.callerServer = berylhttpserver.New(callers, s.proxy.Serve, s.proxy.MustRunInOrder, s.limits, berylhttpserver.Guard(s.guard.Run),
		berylhttpserver.OnUnanswered(func(h http.Header) string { return h.Get(s.names.RequestID) }, s.unanswered),
		berylhttpserver.Refuse(s.proxy.RefuseStopping),
		berylhttpserver.Memory(s.memory), berylhttpserver.RefuseOverloaded(s.proxy.RefuseOverloaded),
		berylhttpserver.Connections(s.connLimit), berylhttpserver.OnLimited(s.limitedCaller),
		berylhttpserver.ServeWhileStopping(func() bool { return s.runner.Busy() > 0 }, s.proxy.IsNested))
	s.loops.Go(func() { s.gossip.Run(run) })
	s.loops.Go(func() { s.cache.Run(run) })
	s.loops.Go(func() { s.beat(run) })
	s.serve(peers, s.handler())
	s.serve(ready, http.HandlerFunc(s.readiness))
	s.meshServer = s.mesh.NewServer(work, s.run)
	s.loops.Go(func() { s.meshServer.Run(run) })
	s.loops.Go(func() { s.callerServer.Run(run) })
	s.log.Info().Str("instance", set.Name).Str("zone", set.Zone).Str("service", set.Service).Str("callers", set.Callers).Msg("started")
	return nil
}

const (
	stateDialTimeout = 400 * time.Millisecond // to another instance, whose state is read
	stateIdleTimeout = 5 * time.Second
	headerTimeout    = 5 * time.Second
	answerTimeout    = 10 * time.Second // on the internal ports, from the end of the head of a request
	idleTimeout      = time.Minute
	maxHeadSize      = 16 << 10 // bytes of the head of a request or response on the internal ports
)

func (s *Sidecar) serve(ln net.Listener, h http.Handler) {
	srv := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, ReadTimeout: headerTimeout, WriteTimeout: answerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeadSize}
	s.servers = append(s.servers, srv)
	s.loops.Go(func() {
		// Ends with Close; a listener that fails shows in the log of readiness.
		if err := srv.Serve(ln); !eris.Is(err, http.ErrServerClosed) {
			s.log.Error().Err(err).Msg("listener lost")
		}
	})
}

func (s *Sidecar) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(statePath, s.serveState)
	mux.Handle("/metrics", s.meter.handler())
	mux.HandleFunc(explainPath, s.serveExplain)
	return mux
}

// readiness answers 200 while the daemon takes new work.
func (s *Sidecar) readiness(w http.ResponseWriter, _ *http.Request) {
	if s.closing.Load() || s.cache.State().Config == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// applySettings puts settings into force.
func (s *Sidecar) applySettings(set Settings) {
	s.set.Store(&set)
	s.regions.Store(berylregions.New(set.Zone, set.Regions))
}

// Reload takes changed settings. Listeners stay as they are.
func (s *Sidecar) Reload(set Settings) {
	s.applySettings(set)
	s.memory.SetLimits(memoryLimits(set))
	s.runner.SetAddr(set.Backend)
	s.log.Info().Str("service", set.Service).Str("backend", set.Backend).Msg("settings reloaded")
}

const (
	leaveHeartbeats   = 3 // sent at the begin of a stop, in case one gets lost
	leaveHeartbeatGap = 30 * time.Millisecond
)

// Stop is a graceful shutdown: callers are told to go elsewhere, then other instances are, and all
// are served until they have. After that, calls of the backend server are served as long as
// requests run there. What runs is finished, or ended in time for its callers to be told.
func (s *Sidecar) Stop() {
	begin := time.Now()
	times := newStopTimes(s.set.Load().Grace)
	s.closing.Store(true)
	s.proxy.StopAt(begin.Add(times.endWork))
	s.runner.StopAt(begin.Add(times.endWork))
	s.callerServer.DisableKeepAlives()
	s.log.Info().Int("callers", s.callerServer.Busy()).Int("backend", s.runner.Busy()).Msg("leaving")
	berylclock.Sleep(context.Background(), time.Until(begin.Add(times.tellPeers)))
	s.leaving.Store(true)
	for range leaveHeartbeats {
		s.say(true)
		time.Sleep(leaveHeartbeatGap)
	}
	s.runner.RefuseNew()
	berylclock.Sleep(context.Background(), time.Until(begin.Add(times.stopReading)))
	s.runner.ReturnWaiting()
	var drained sync.WaitGroup
	drained.Go(func() { s.callerServer.Drain(time.Until(begin.Add(times.endWork)), times.endAnswers-times.endWork) })
	drained.Go(func() { s.meshServer.Drain(time.Until(begin.Add(times.endWork)), times.endAnswers-times.endWork) })
	drained.Wait()
	s.log.Info().Int("callers", s.callerServer.Busy()).Int("backend", s.runner.Busy()).Dur("took", time.Since(begin)).Msg("stopped")
	closed := make(chan struct{})
	go func() { s.Close(); close(closed) }() // Ends with the process at the latest.
	select {
	case <-closed:
	case <-time.After(times.closing):
		s.log.Warn().Msg("closing took too long")
	}
}

// Enter serves one request of a caller as if it had come to the listener for callers.
func (s *Sidecar) Enter(ctx context.Context, r *berylhttpserver.Request) *berylhttpserver.Answer {
	return s.proxy.Serve(ctx, r)
}

// Close ends everything at once.
func (s *Sidecar) Close() {
	s.callerServer.Close() // Tells what each request waited for, so it comes before the requests are cancelled.
	s.cancel()
	s.meshServer.Close()
	for _, srv := range s.servers {
		_ = srv.Close() // Nothing is left to be done about it.
	}
	_ = s.udp.Close() // As above.
	s.mesh.Close()
	s.stateClient.CloseIdleConnections()
	s.loops.Wait()
}

// logWork logs the end of a request for the backend server.
func (s *Sidecar) logWork(w *berylrequest.Request, waited time.Duration, out *berylreply.Reply) {
	s.meter.work(w.Rule, out.Outcome.String(), out.Reason, waited)
	if out.Reason == "" && waited < logWait {
		return
	}
	event := s.log.Info().Str("id", w.ID).Str("rule", w.Rule).Str("server", w.ServerID).Str("end", out.Outcome.String()).Str("reason", out.Reason).
		Dur("waited", waited).Int("busy", out.Busy).Int("limit", out.Limit).Dur("hold", out.MeanServiceTime)
	if out.Outcome == berylattempt.Rejected {
		event = event.Int("status", out.Status).Bool("sent_before", out.IDSentBefore).Bool("body_pending", out.BodyPending)
	}
	event.Msg("work")
}

// discarded logs a response of the backend server that does not answer the request under way.
func (s *Sidecar) discarded(d berylconnpool.Discarded) {
	kind := discardedOther
	switch {
	case !berylhttpstatus.IsFinal(d.Status):
		kind = discardedStatus
	case d.ResponseID == "":
		kind = discardedNoID
	}
	s.meter.discarded(kind, d.Rejection)
	s.log.Warn().Str("id", d.RequestID).Str("answered", d.ResponseID).Int("status", d.Status).Bool("rejection", d.Rejection).Msg("response discarded")
}

// Kinds of responses that were discarded.
const (
	discardedOther  = "other request"
	discardedNoID   = "no id"
	discardedStatus = "status"
)

// unanswered logs a request of a caller that ended without a complete answer during a stop.
func (s *Sidecar) unanswered(u berylhttpserver.Unanswered) {
	rule := s.proxy.RuleName(u.Host, u.Path)
	s.meter.unanswered(rule, string(u.Wait))
	s.log.Warn().Err(u.Err).Str("id", u.ID).Str("rule", rule).Dur("ms", u.Age).Str("wait", string(u.Wait)).Msg("request unanswered")
}

// serverStatus logs what the local backend server says about itself.
func (s *Sidecar) serverStatus(serverID string, status berylserverstatus.Status, err error) {
	if err != nil {
		s.log.Warn().Err(err).Str("server", serverID).Msg("server status ignored")
		return
	}
	s.log.Info().Str("server", serverID).Bool("limited", status.Limited).Float64("limit", status.Limit).Bool("leaving", status.Leaving).Msg("server status")
}

const logWait = 50 * time.Millisecond // work that waited longer is logged even when it went well
