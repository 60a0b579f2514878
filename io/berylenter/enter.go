// Package berylenter takes requests where they begin: it decides whether they
// may run, sends them to an instance and gives the caller a true answer.
package berylenter

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"berylspan/core/berylnames"
	"berylspan/core/berylretries"
	"berylspan/core/berylsplitter"
	"berylspan/core/beryltracker"
	"berylspan/io/berylgossip"
	"berylspan/io/berylquotas"
	"berylspan/io/berylreply"
	"berylspan/io/berylview"
	"berylspan/io/berylwork"

	"github.com/rs/zerolog"
)

// Enter is safe for concurrent use. Host is the address of this instance and
// Service that of the backend server beside it. Local runs work on that server,
// Remote on another instance. Called is told of nested
// calls and Returned how long they took and waited in line; CallRank ranks them.
type Enter struct {
	Names    berylnames.Names
	Host     string
	Zone     string
	Port     string // on which other instances are reached
	Service  func() string
	State    func() *berylview.State
	Age      func() time.Duration
	Local    func(ctx context.Context, w *berylwork.Work) *berylreply.Reply
	Remote   func(ctx context.Context, addr string, w *berylwork.Work) *berylreply.Reply
	Called   func(rule string)
	Returned func(took, waited time.Duration)
	CallRank func(rule string) int
	Quotas   *berylquotas.RateLimiter
	Log      zerolog.Logger
	Observe  func(workspace, rule string, status int, reason string, took time.Duration)

	mu       sync.Mutex
	standing *beryltracker.Tracker
	splits   map[string]*berylsplitter.Splitter
	sends    map[string]*berylretries.Budget
	longest  map[string]time.Duration // time that first requests of a rule bring
	peers    map[string]berylgossip.Peer
	flights  map[*flight]struct{}
	fleet    int // instances that take requests
}

// flight is a send to another instance that has not ended.
type flight struct {
	host   string
	cancel context.CancelFunc
}

// SmallFleet is the number of instances up to which every one speaks to every
// other all the time.
const SmallFleet = 24

// SilentAfter is how long an instance may not be heard: three words.
const SilentAfter = 1300 * time.Millisecond

// New completes an enter whose exported fields are set.
func New(e *Enter) *Enter {
	e.standing = beryltracker.New()
	e.splits = map[string]*berylsplitter.Splitter{}
	e.sends = map[string]*berylretries.Budget{}
	e.longest = map[string]time.Duration{}
	e.peers = map[string]berylgossip.Peer{}
	e.flights = map[*flight]struct{}{}
	e.fleet = 1
	return e
}

// Tick takes the instances heard lately. Sends to instances that fell silent are
// given up, so that requests which may be repeated can go elsewhere.
func (e *Enter) Tick(peers []berylgossip.Peer) {
	now := time.Now()
	s := e.State()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.peers = make(map[string]berylgossip.Peer, len(peers))
	for _, p := range peers {
		e.peers[p.Host] = p
		if p.Heartbeat.ServerID != "" && now.Sub(p.LastSeen) < SilentAfter {
			e.standing.LoadReported(p.LastSeen, p.Heartbeat.ServerID, "", p.Heartbeat.Busy, p.Heartbeat.Limit, 0)
		}
	}
	hosts := map[string]bool{e.Host: true}
	for _, l := range s.ServersByAddr {
		hosts[l.Host()] = true
	}
	for _, p := range peers {
		if now.Sub(p.LastSeen) < SilentAfter {
			hosts[p.Host] = true
		}
	}
	e.fleet = len(hosts)
	for f := range e.flights {
		if p, ok := e.peers[f.host]; ok && e.silent(now, p) {
			f.cancel()
		}
	}
	e.standing.EvictStale(now)
}

// silent tells whether an instance should have been heard. In a large fleet only
// those of the own data centre speak all the time.
func (e *Enter) silent(now time.Time, p berylgossip.Peer) bool {
	return now.Sub(p.LastSeen) > SilentAfter && (e.fleet <= SmallFleet || p.Heartbeat.Zone == e.Zone)
}

// Fleet returns the number of all instances.
func (e *Enter) Fleet() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.fleet
}

func random() float64 { return rand.Float64() }
