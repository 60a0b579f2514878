// Package berylrunner runs requests on the local backend server within its concurrency
// limit.
package berylrunner

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"berylspan/core/beryladmission"
	"berylspan/core/berylattempt"
	"berylspan/core/berylcallgraph"
	"berylspan/core/berylchain"
	"berylspan/core/berylcoldstart"
	"berylspan/core/berylgrace"
	"berylspan/core/berylheadernames"
	"berylspan/core/berylinflight"
	"berylspan/core/beryllifetime"
	"berylspan/core/berylregistration"
	"berylspan/core/berylserverload"
	"berylspan/core/berylserverstatus"
	"berylspan/core/berylshedding"
	"berylspan/core/berylwarmup"
	"berylspan/io/berylconnpool"
	"berylspan/io/berylpanic"
	"berylspan/io/berylreply"
	"berylspan/io/berylrequest"
	"berylspan/io/berylserverend"
)

// Runner runs requests on the local backend server. It is safe for concurrent use.
type Runner struct {
	names          berylheadernames.Names
	listEntry      func() (berylregistration.Registration, bool) // entry of the backend server in the published list, false while unknown
	onRequestEnd   func(req *berylrequest.Request, queueTime time.Duration, reply *berylreply.Reply)
	guard          func(part string, f func()) bool
	onServerStatus func(serverID string, status berylserverstatus.Status, err error)
	onServerEnd    func(berylserverend.ServerEnd)
	onAnswered     func(req *berylrequest.Request)
	onShedding     func()
	onDiscarded    func(berylconnpool.Discarded)
	maxConns       func() int
	checkSuspect   func(req *berylrequest.Request) (suspect bool, wait time.Duration)
	isEvacuated    func() bool // the data centre of the backend server
	isListed       func(serverID string) bool
	coldStart      func() (start berylcoldstart.ColdStart, known bool)
	onColdChange   func(serverID string, coldFor time.Duration, perSecond float64)

	mu             sync.Mutex
	pool           *berylconnpool.Pool
	addr           string
	admission      *beryladmission.Controller[*waiter]
	callGraph      *berylcallgraph.Estimator
	limiter        *berylinflight.Limiter // of new requests while the services that they call are overloaded
	gate           *berylchain.Gate       // of new requests while a service further down their chain sheds
	shedding       berylshedding.Meter    // of the backend server
	callFailures   berylshedding.Meter    // of the nested calls that the backend server makes, which count as rejected if they fail
	running        map[string]int         // requests, by rule
	ranks          map[string]int         // rank of the latest request, by rule
	slots          int
	abandoned      int       // requests that the server still has after they were given up here
	loadReportedAt time.Time // when abandoned and slowdown were determined
	slowdown       float64   // of the server at that time, 0 when it did not say
	startPending   bool      // a timer will start waiting requests
	shuttingDown   bool
	grace          *berylgrace.Grace        // of the requests that run on the backend server, by rule
	lifetime       beryllifetime.Lifetime   // of the server that status belongs to
	answered       bool                     // whether the server has answered this daemon in that lifetime
	status         berylserverstatus.Status // what the server last said about itself
	malformedLimit string                   // last limit that could not be read
	flights        map[*flight]struct{}
	warmup         *berylwarmup.Warmup
	coldStarts     berylcoldstart.ColdStart // of the server
	coldFor        time.Duration            // how long the server stayed cold when that was last checked
	trial          *flight                  // the one suspect that may run, nil without one
	broken         []*flight                // whose connection broke a short time ago
	possibleEnds   []possibleEnd
	listed         beryllifetime.Lifetime // of the server in the list when it was last there
	endChecks      int                    // checks of whether the server has ended that were asked for and are not finished
}

// waiter is a request that waits for a slot.
type waiter struct {
	ready   chan struct{} // closed when a slot is granted or refusal is set
	refusal string        // reason why it is refused, "" if it is not
}

// refusalReply returns the reply to a request that was not started, or nil.
func (w *waiter) refusalReply() *berylreply.Reply {
	if w.refusal == "" {
		return nil
	}
	return berylreply.NewFailure(berylattempt.Unsent, w.refusal)
}

const (
	initialLimit  = 16                    // concurrency limit while the slots of the server are unknown
	usableShare   = 0.95                  // fraction of the slots that is used, as some servers slow down above it
	expiryMargin  = 25 * time.Millisecond // a waiting request is refused this long before its deadline, so that its sender learns in time that it has not run
	loadReportTTL = 2 * time.Second       // how long the load that the server reported is used
	slowdownTTL   = time.Second           // how long a slowdown that the server reported is passed on
)

// OnRequestEnd sets a function that is called at the end of every request.
func OnRequestEnd(f func(req *berylrequest.Request, queueTime time.Duration, reply *berylreply.Reply)) func(*Runner) {
	return func(r *Runner) { r.onRequestEnd = f }
}

// Guard sets the function that runs what the runner starts in further goroutines and reports
// whether it returned without a panic.
func Guard(run func(part string, f func()) bool) func(*Runner) {
	return func(r *Runner) { r.guard = run }
}

// OnDiscarded sets a function that is called for every response of the backend server that is not
// believed to answer the request under way on its connection.
func OnDiscarded(f func(berylconnpool.Discarded)) func(*Runner) {
	return func(r *Runner) { r.onDiscarded = f }
}

// MaxConns sets the function that returns how many connections the backend server accepts, 0 if
// that is unknown.
func MaxConns(f func() int) func(*Runner) { return func(r *Runner) { r.maxConns = f } }

// New returns a runner for the backend server at addr. listEntry returns its entry in
// the published list, false while that is unknown.
func New(addr string, names berylheadernames.Names, listEntry func() (berylregistration.Registration, bool), opts ...func(*Runner)) *Runner {
	r := &Runner{
		names: names, listEntry: listEntry, addr: addr,
		onRequestEnd:   func(*berylrequest.Request, time.Duration, *berylreply.Reply) {},
		guard:          berylpanic.Unguarded,
		onServerStatus: func(string, berylserverstatus.Status, error) {},
		onServerEnd:    func(berylserverend.ServerEnd) {},
		onAnswered:     func(*berylrequest.Request) {},
		onShedding:     func() {},
		onDiscarded:    func(berylconnpool.Discarded) {},
		maxConns:       func() int { return 0 },
		checkSuspect:   func(*berylrequest.Request) (bool, time.Duration) { return false, 0 },
		isEvacuated:    func() bool { return false },
		isListed:       func(string) bool { return true },
		flights:        map[*flight]struct{}{},
		admission:      beryladmission.New[*waiter](initialLimit),
		coldStart:      func() (berylcoldstart.ColdStart, bool) { return berylcoldstart.ColdStart{}, true },
		onColdChange:   func(string, time.Duration, float64) {},
		warmup:         berylwarmup.New(time.Now()),
		callGraph:      berylcallgraph.New(),
		limiter:        berylinflight.New(),
		gate:           berylchain.New(),
		running:        map[string]int{},
		ranks:          map[string]int{},
		grace:          berylgrace.New(),
	}
	for _, opt := range opts {
		opt(r)
	}
	r.pool = r.newPool(addr)
	return r
}

func (r *Runner) newPool(addr string) *berylconnpool.Pool {
	return berylconnpool.New(addr, r.names, berylconnpool.Guard(r.guard), berylconnpool.OnDiscarded(r.onDiscarded), berylconnpool.MaxOpen(r.maxConns))
}

// SetAddr changes the address of the backend server.
func (r *Runner) SetAddr(addr string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if addr == r.addr {
		return
	}
	r.pool.Close()
	r.addr, r.pool = addr, r.newPool(addr)
}

// EvictIdle closes connections to the backend server that are not worth keeping.
func (r *Runner) EvictIdle() {
	r.mu.Lock()
	pool := r.pool
	r.mu.Unlock()
	pool.EvictIdle()
}

// Busy returns the number of requests that run or wait.
func (r *Runner) Busy() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	running, waiting, _ := r.admission.State()
	return running + waiting
}

// Load returns the number of requests that run or wait and the concurrency limit.
func (r *Runner) Load() (busy, limit int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	running, waiting, limit := r.admission.State()
	return running + waiting, limit
}

// Run waits for a slot and runs the request on the backend server.
func (r *Runner) Run(ctx context.Context, req *berylrequest.Request) *berylreply.Reply {
	start := time.Now()
	reply := r.checkArrival(req)
	if reply == nil {
		r.adoptLimit(req)
	}
	var queueTime time.Duration
	if reply == nil {
		reply = r.checkThrottle(req)
	}
	if reply == nil {
		reply = r.checkShedding(req)
	}
	if reply == nil {
		admissionRequest := beryladmission.Request{Rank: req.Rank, Nested: req.Nested, Kind: req.Rule, TimeToDeadline: req.Deadline.Sub(start), TimeToTarget: req.TargetTime.Sub(start)}
		reply = r.acquireSlot(ctx, admissionRequest)
		queueTime = time.Since(start)
		if reply == nil {
			reply = r.checkStart(ctx, req, admissionRequest, queueTime)
		}
		if reply == nil {
			reply = r.send(ctx, req, admissionRequest)
		}
	}
	r.addLoad(req.Rule, reply)
	reply.QueueTime = queueTime
	r.onRequestEnd(req, queueTime, reply)
	return reply
}

// checkServer refuses a request that is meant for another backend server, unless the
// list entry known here is older than the one that the sender used, or whose server is leaving,
// evacuated or no longer listed.
func (r *Runner) checkServer(req *berylrequest.Request) *berylreply.Reply {
	entry, known := r.listEntry()
	r.mu.Lock()
	defer r.mu.Unlock()
	if known {
		r.listed = entry.Lifetime()
	}
	r.trackLifetime(r.newestLifetime(entry, known, req))
	if known && (entry.Service != req.Service || (entry.ID != req.ServerID && entry.Born >= req.ServerStartMs)) {
		reply := berylreply.NewFailure(berylattempt.Unsent, berylreply.ReasonWrongServer)
		reply.ActualServerID = entry.ID
		return reply
	}
	if (r.status.Leaving && r.lifetime == req.Lifetime()) || (known && entry.Leaving && entry.Lifetime() == req.Lifetime()) {
		return berylreply.NewFailure(berylattempt.Unsent, berylreply.ReasonServerLeaving)
	}
	if r.isGone(known, req.Lifetime()) {
		return berylreply.NewFailure(berylattempt.Unsent, berylreply.ReasonWrongServer)
	}
	if r.isEvacuated() {
		return berylreply.NewFailure(berylattempt.Unsent, berylreply.ReasonEvacuated)
	}
	r.warmup.Requested(time.Now(), r.coldStarts.Duration)
	r.updateCold(entry, known, req.ColdPerSecond)
	if known && entry.Slots > 0 && entry.Slots != r.slots {
		r.slots = entry.Slots
	}
	r.updateLimit()
	return nil
}

// updateLimit sets the concurrency limit to the usable slots of the server, less those
// still taken by abandoned requests. About a quarter of the slots always remains.
func (r *Runner) updateLimit() {
	if r.slots == 0 {
		return
	}
	limit := int(float64(r.slots) * usableShare)
	if time.Since(r.loadReportedAt) < loadReportTTL {
		limit -= r.abandoned
	}
	r.admission.SetLimit(max(limit, 1+r.slots/4))
}

// acquireSlot waits until the request may run. It returns nil, or a reply if the request
// is refused.
func (r *Runner) acquireSlot(ctx context.Context, req beryladmission.Request) *berylreply.Reply {
	w := &waiter{ready: make(chan struct{})}
	if waits, reply := r.arrive(req, w); !waits {
		return reply
	}
	timer := time.NewTimer(req.TimeToDeadline - expiryMargin)
	defer timer.Stop()
	select {
	case <-w.ready:
		return w.refusalReply()
	case <-ctx.Done():
	case <-timer.C:
	}
	if !r.removeWaiter(w) {
		<-w.ready
		if w.refusal == "" {
			r.releaseSlot(req, 0, false)
		}
	}
	return berylreply.NewFailure(berylattempt.Unsent, berylreply.ReasonExpired)
}

// arrive lets the request start, queues it with w or returns the reply that refuses it.
func (r *Runner) arrive(req beryladmission.Request, w *waiter) (waits bool, refusal *berylreply.Reply) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if refusal = r.checkCold(now); refusal != nil {
		return false, refusal
	}
	decision, wait := r.admission.Arrive(now, req, w)
	switch decision {
	case beryladmission.Wait:
		r.startWaiting()
		return true, nil
	case beryladmission.Refuse:
		refusal = berylreply.NewFailure(berylattempt.Unsent, berylreply.ReasonQueueFull)
		refusal.RetryAfter = wait
	}
	return false, refusal
}

// removeWaiter takes a request out of the queue and reports whether it was there.
func (r *Runner) removeWaiter(w *waiter) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.admission.Remove(func(other *waiter) bool { return other == w })
}

// releaseSlot frees a slot and starts waiting requests.
func (r *Runner) releaseSlot(req beryladmission.Request, took time.Duration, ran bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.admission.Done(req, took, ran)
	if ran {
		r.grace.Ended(req.Kind, took)
	}
	r.startWaiting()
}

// startWaiting starts the waiting requests that may start now, and arranges to do so again
// when the rate that the server named lets the next one start. The caller holds the lock.
func (r *Runner) startWaiting() {
	for {
		w, expired, ok := r.admission.Next(time.Now())
		if !ok {
			break
		}
		if expired {
			w.refusal = berylreply.ReasonExpired
		}
		close(w.ready)
	}
	wait, ok := r.admission.NextStart(time.Now())
	if !ok || r.startPending {
		return
	}
	r.startPending = true
	time.AfterFunc(wait, func() {
		r.guard("waiting requests", func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.startPending = false
			r.startWaiting()
		})
	})
}

func (r *Runner) send(ctx context.Context, req *berylrequest.Request, admissionRequest beryladmission.Request) *berylreply.Reply {
	start := time.Now()
	f := &flight{req: req, start: start}
	if reply := r.checkQuarantine(f); reply != nil {
		r.releaseSlot(admissionRequest, 0, false)
		return reply
	}
	onDone := sync.OnceFunc(func() {
		r.recordDone(f)
		r.releaseSlot(admissionRequest, time.Since(start), ctx.Err() == nil)
	})
	returned := false
	defer func() {
		if !returned { // A panic must not keep the slot.
			onDone()
		}
	}()
	pool := r.recordStart(f)
	h := req.Header.Clone()
	h.Set(r.names.TimeLeft, strconv.FormatInt(max(1, req.Deadline.Sub(start).Milliseconds()), 10))
	h.Set(r.names.RequestID, req.ID)
	setOrDelete(h, r.names.CallerService, req.Caller)
	setOrDelete(h, r.names.Workspace, req.Workspace)
	setOrDelete(h, r.names.TargetServer, req.ServerID)
	reply := pool.Send(ctx, &berylconnpool.Request{
		Method: req.Method, URI: req.URI, Host: req.Host, ID: req.ID, Header: h,
		Body: req.Body, Stream: req.Stream, Length: req.Length, NonIdempotent: !req.Idempotent,
		OnHeader: func(h http.Header) { r.recordHeader(f, h) },
		OnBroken: func() { r.recordBroken(f) }, OnAnswered: func() { r.onAnswered(req) },
	}, onDone)
	r.recordReached(ctx, reply)
	r.recordOutcome(ctx, req, start, reply)
	if !req.Nested {
		r.recordEnd(ctx, req, reply)
	}
	returned = true
	return reply
}

// recordStart records that a request starts and sets the lifetime of the backend server that
// it is sent to. It returns the pool to send it with.
func (r *Runner) recordStart(f *flight) *berylconnpool.Pool {
	req := f.req
	r.mu.Lock()
	defer r.mu.Unlock()
	r.callGraph.RequestStarted(f.start, req.Rule)
	if !req.Nested {
		r.limiter.Begin(f.start, req.Rule, req.Importance, req.TargetTime.Sub(f.start))
	}
	r.running[req.Rule]++
	r.ranks[req.Rule] = req.Rank
	f.lifetime = r.lifetime
	r.flights[f] = struct{}{}
	return r.pool
}

// recordDone records that the backend server has finished with a request.
func (r *Runner) recordDone(f *flight) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.callGraph.RequestEnded(time.Now(), f.req.Rule)
	r.running[f.req.Rule]--
	r.removeFlight(f)
}

func setOrDelete(h http.Header, name, value string) {
	if value == "" {
		h.Del(name)
		return
	}
	h.Set(name, value)
}

// recordServerLoad evaluates the load that the server reports. Requests that it has beyond
// those sent from here are requests that were given up. The caller holds the lock.
func (r *Runner) recordServerLoad(value string) {
	load, ok := berylserverload.Parse(value)
	if !ok {
		return
	}
	ownRunning, _, _ := r.admission.State()
	r.abandoned = max(0, load.Running+load.Waiting-ownRunning-1)
	r.slowdown = load.Slowdown
	r.loadReportedAt = time.Now()
	r.updateLimit()
}

// Slowdown returns how long work takes on the backend server, relative to usual, 0 when it did
// not say so recently.
func (r *Runner) Slowdown() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Since(r.loadReportedAt) > slowdownTTL {
		return 0
	}
	return r.slowdown
}

// addLoad adds the load of the backend server to a reply.
func (r *Runner) addLoad(rule string, reply *berylreply.Reply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	running, waiting, limit := r.admission.State()
	reply.HasLoad = true
	reply.Busy, reply.Limit, reply.MeanServiceTime = running+waiting, limit, r.admission.MeanServiceTime(rule)
}
