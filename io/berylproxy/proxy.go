// Package berylproxy handles the requests of callers: it authenticates them, applies
// rate limits, chooses an instance and retries failed attempts within a budget. Its
// refusals distinguish requests that did not run from those that may have run.
package berylproxy

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"berylspan/core/berylcoldshare"
	"berylspan/core/berylevenness"
	"berylspan/core/berylfullmesh"
	"berylspan/core/berylgrace"
	"berylspan/core/berylheadernames"
	"berylspan/core/berylplacement"
	"berylspan/core/berylregions"
	"berylspan/core/berylretries"
	"berylspan/core/berylshedding"
	"berylspan/core/berylslowstart"
	"berylspan/core/berylsplitter"
	"berylspan/core/beryltimelimit"
	"berylspan/core/beryltracker"
	"berylspan/io/berylgossip"
	"berylspan/io/berylratelimiter"
	"berylspan/io/berylreply"
	"berylspan/io/berylrequest"
	"berylspan/io/berylstorecache"

	"github.com/rs/zerolog"
)

// Proxy handles requests that callers send to this instance. It is safe for concurrent
// use.
type Proxy struct {
	Names    berylheadernames.Names
	Host     string        // address of this instance
	Zone     string        // data centre of this instance
	Port     string        // on which other instances are reached
	Service  func() string // service of the local backend server
	Regions  func() *berylregions.Regions
	State    func() *berylstorecache.State
	StateAge func() time.Duration

	// RunLocal runs a request on the local backend server, SendRemote on the instance
	// at addr.
	RunLocal   func(ctx context.Context, r *berylrequest.Request) *berylreply.Reply
	SendRemote func(ctx context.Context, addr string, r *berylrequest.Request) *berylreply.Reply

	// CallStarted and CallEnded are called at the start and end of each nested call.
	// took is its duration, waited the part of that spent in queues, failed whether it got no
	// answer or an error. CallRank returns the rank of a nested call.
	CallStarted func(rule string)
	CallEnded   func(took, waited time.Duration, failed bool)
	CallRank    func(rule string) int

	// CheckSuspect reports whether a request may run as a trial only, because backend servers
	// ended while they ran it, and how long it is until the next trial.
	CheckSuspect func(r *berylrequest.Request) (suspect bool, wait time.Duration)

	Quotas *berylratelimiter.RateLimiter
	Log    zerolog.Logger

	// Observe is called at the end of each request.
	Observe func(workspace, rule string, status int, reason string, took time.Duration)

	mu           sync.Mutex
	tracker      *beryltracker.Tracker
	slowStart    *berylslowstart.SlowStart // of data centres whose evacuation was taken back
	chooser      berylplacement.Chooser
	candidates   []berylplacement.Candidate // memory of chooseInstance
	splitters    map[string]*berylsplitter.Splitter
	retryBudgets map[string]*berylretries.Budget
	timeLimits   map[string]*beryltimelimit.Estimator // of root requests, by rule
	peers        map[string]berylgossip.Peer
	remoteSends  map[*remoteSend]struct{}
	fleetSize    int // instances that take requests
	coldShares   *berylcoldshare.Shares
	grace        *berylgrace.Grace               // of the requests that callers send here, by rule
	zoneSizes    map[string]int                  // listed backend servers, by data centre
	failures     map[string]*berylshedding.Meter // of answers, by ID of the backend server; only while a service sheds
	shedding     map[string]float64              // share of arrivals that all servers of a service reject, by service; nil while none does
}

// remoteSend is an attempt at another instance that has not ended.
type remoteSend struct {
	host   string
	cancel context.CancelFunc
}

// PeerTimeout is how long after its last gossip message an instance counts as silent.
// Three messages are due in that time.
const PeerTimeout = 1300 * time.Millisecond

// New initializes p, whose exported fields must be set, and returns it.
func New(p *Proxy) *Proxy {
	p.tracker = beryltracker.New()
	p.slowStart = berylslowstart.New()
	p.splitters = map[string]*berylsplitter.Splitter{}
	p.retryBudgets = map[string]*berylretries.Budget{}
	p.timeLimits = map[string]*beryltimelimit.Estimator{}
	p.peers = map[string]berylgossip.Peer{}
	p.remoteSends = map[*remoteSend]struct{}{}
	p.fleetSize = 1
	p.coldShares = berylcoldshare.New(random)
	p.grace = berylgrace.New()
	return p
}

// UpdatePeers sets the instances from which gossip was received recently. It cancels
// attempts at instances that have become silent, so that their requests can be retried
// at other instances.
func (p *Proxy) UpdatePeers(peers []berylgossip.Peer) {
	now := time.Now()
	state := p.State()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peers = make(map[string]berylgossip.Peer, len(peers))
	for _, peer := range peers {
		p.peers[peer.Host] = peer
		if peer.Heartbeat.ServerID != "" && now.Sub(peer.LastSeen) < PeerTimeout {
			p.tracker.LoadReported(peer.LastSeen, peer.Heartbeat.ServerID, "", peer.Heartbeat.Busy, peer.Heartbeat.Limit, 0, float64(peer.Heartbeat.Slowdown)/100)
		}
	}
	hosts := map[string]bool{p.Host: true}
	p.zoneSizes = map[string]int{}
	for _, entry := range state.ServersByAddr {
		hosts[entry.Host()] = true
		p.zoneSizes[entry.Zone]++
	}
	for _, peer := range peers {
		if now.Sub(peer.LastSeen) < PeerTimeout {
			hosts[peer.Host] = true
		}
	}
	p.fleetSize = len(hosts)
	p.slowStart.Update(now, state.Evacuated)
	p.updateShedding(now, state)
	for send := range p.remoteSends {
		if peer, ok := p.peers[send.host]; ok && p.isSilent(now, peer) {
			send.cancel()
		}
	}
	p.tracker.EvictStale(now)
	p.coldShares.EvictStale(now)
}

// isSilent reports whether gossip from an instance is overdue. In a large fleet only
// instances of the own data centre send it all the time.
func (p *Proxy) isSilent(now time.Time, peer berylgossip.Peer) bool {
	return now.Sub(peer.LastSeen) > PeerTimeout && (berylfullmesh.ExpectsAll(p.fleetSize) || peer.Heartbeat.Zone == p.Zone)
}

// FleetSize returns the number of instances in the fleet, including this one.
func (p *Proxy) FleetSize() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fleetSize
}

// Evenness returns how evenly the load of each service is spread over its servers in the own
// data centre, as far as this instance knows.
func (p *Proxy) Evenness() map[string]berylevenness.Evenness {
	now := time.Now()
	state := p.State()
	out := map[string]berylevenness.Evenness{}
	p.mu.Lock()
	defer p.mu.Unlock()
	for service, list := range state.ServersByService {
		cs := make([]berylplacement.Candidate, len(list))
		for i, entry := range list {
			cs[i] = p.tracker.Candidate(now, entry.ID, "", entry.Slots)
			cs[i].OtherZone = entry.Zone != p.Zone
			cs[i].Excluded = entry.Leaving
		}
		if e, ok := berylevenness.Measure(cs); ok {
			out[service] = e
		}
	}
	return out
}

func random() float64 { return rand.Float64() }
