// Package berylratelimiter enforces the request rate of each workspace over the whole
// fleet.
//
// An instance borrows tokens from the instance that lends those of the workspace.
// While the lender does not reply, the instance falls back on its own share of the
// rate. In a large fleet each data centre has a lender, and one of these lends to the
// others.
package berylratelimiter

import (
	"sync"
	"time"

	"berylspan/core/berylaccount"
	"berylspan/core/berylhash"
	"berylspan/core/beryllender"
)

// RateLimiter borrows and lends the tokens of all workspaces. It is safe for concurrent
// use.
type RateLimiter struct {
	host string
	send func(host string, m Message) // passes a message to another instance

	mu               sync.Mutex
	lenderCandidates []string // hosts, this one included
	fleetSize        int
	caches           map[string]*tokenCache
	lenders          map[string]*beryllender.Lender
	// lendingZoneHosts returns the instances of the data centre that lends a
	// workspace's tokens, in the order in which they are asked, or none if that is
	// the own data centre.
	lendingZoneHosts func(workspace string) []string
	borrowers        map[string]*zoneBorrower
}

// Message requests or lends tokens, by workspace. ZoneRequested and ZoneLent go
// between data centres.
type Message struct {
	Requested     map[string]int `cbor:"1,keyasint,omitempty"`
	Lent          map[string]int `cbor:"2,keyasint,omitempty"`
	RetryAfterMs  map[string]int `cbor:"3,keyasint,omitempty"` // until tokens are available, where none are lent
	ZoneRequested map[string]int `cbor:"4,keyasint,omitempty"`
	ZoneLent      map[string]int `cbor:"5,keyasint,omitempty"`
	Requester     string         `cbor:"6,keyasint,omitempty"` // host that sent a forwarded request
}

// FleetState is what an instance knows about the fleet.
type FleetState struct {
	LenderCandidates []string                        // hosts in the own data centre, or in the whole fleet if that is small
	FleetSize        int                             // all instances
	LenderCount      int                             // data centres that each lend their own share while they cannot reach each other
	OtherDemand      map[string]float64              // requests per second at other instances, by workspace
	ReservedShare    func(workspace string) float64  // fraction of the rate that unreachable instances may use
	LendingZoneHosts func(workspace string) []string // instances of the lending data centre in the order in which they are asked; none if it is the own
	Account          func(workspace string) *berylaccount.Account
	Workspaces       []string // all
}

const (
	prefetchSeconds   = 0.25 // of demand that is borrowed ahead
	maxPrefetchTokens = 50   // also the most that an instance is lent at once
	tokenLifetime     = time.Second
	lateReplyTime     = time.Second            // in which a lender that is not down replies
	replyTimeout      = 40 * time.Millisecond  // several times the delay between data centres
	minDenialTime     = 20 * time.Millisecond  // without requests to the lender after a denial, at least
	maxDenialTime     = 100 * time.Millisecond // without requests to the lender after a denial, at most

	initialFleetSize = 100 // until Update; more than most fleets have, so that their shares stay within the rate
)

// New returns a rate limiter for the instance at host.
func New(host string, send func(host string, m Message)) *RateLimiter {
	return &RateLimiter{host: host, send: send, lenderCandidates: []string{host}, fleetSize: initialFleetSize, caches: map[string]*tokenCache{}, lenders: map[string]*beryllender.Lender{}, borrowers: map[string]*zoneBorrower{}}
}

// lenderHost returns the host that lends the workspace's tokens. All instances that see
// the same candidates agree on it.
func (l *RateLimiter) lenderHost(workspace string) string {
	best, bestScore := l.host, berylhash.Score(workspace, l.host)
	for _, host := range l.lenderCandidates {
		if score := berylhash.Score(workspace, host); score > bestScore || (score == bestScore && host < best) {
			best, bestScore = host, score
		}
	}
	return best
}

// lend lends tokens to an instance or tells it how long to wait. answered is false if
// the reply has to wait for another data centre.
func (l *RateLimiter) lend(now time.Time, a *berylaccount.Account, requester string, want int) (n int, wait time.Duration, answered bool) {
	if b := l.borrower(a.Workspace); b != nil {
		return l.lendBorrowed(now, a, b, requester, want)
	}
	n, wait = l.bucket(now, a).Lend(now, want)
	return n, wait, true
}

// bucket returns the bucket from which this instance lends a workspace's tokens.
func (l *RateLimiter) bucket(now time.Time, a *berylaccount.Account) *beryllender.Lender {
	lender := l.lenders[a.Workspace]
	if lender == nil {
		lender = beryllender.New(now, a.Rate, a.Burst)
		l.lenders[a.Workspace] = lender
	}
	return lender
}

// HandleMessage handles a message from another instance.
func (l *RateLimiter) HandleMessage(from string, m Message, findAccount func(workspace string) *berylaccount.Account) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(m.Requested) > 0 {
		reply := Message{Lent: map[string]int{}, RetryAfterMs: map[string]int{}}
		for workspace, want := range m.Requested {
			a := findAccount(workspace)
			if a == nil || l.lenderHost(workspace) != l.host {
				continue // The requester falls back on its own share.
			}
			if n, wait, answered := l.lend(now, a, from, min(want, maxPrefetchTokens)); answered {
				reply.Lent[workspace] = n
				reply.RetryAfterMs[workspace] = int(wait.Milliseconds())
			}
		}
		if len(reply.Lent) > 0 {
			l.send(from, reply)
		}
	}
	if len(m.ZoneRequested) > 0 {
		l.lendToZone(now, from, m, findAccount)
	}
	// Tokens count only from the instances that were asked: any host can send a datagram, and
	// tokens that no lender has given would exceed the rate.
	for workspace, n := range m.ZoneLent {
		l.handleZoneReply(now, from, workspace, n, time.Duration(m.RetryAfterMs[workspace])*time.Millisecond)
	}
	for workspace, n := range m.Lent {
		if c := l.caches[workspace]; c != nil && c.pending && c.asked == from {
			l.handleReply(now, c, n, time.Duration(m.RetryAfterMs[workspace])*time.Millisecond)
		}
	}
}

// Demand returns the requests per second at this instance by workspace, admitted or
// not.
func (l *RateLimiter) Demand() map[string]float64 {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]float64, len(l.caches))
	for workspace, c := range l.caches {
		out[workspace] = c.fallback.Demand(now)
	}
	return out
}

// Update applies a new state of the fleet to the lenders and to the own shares of the
// rates.
func (l *RateLimiter) Update(fleet FleetState) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lenderCandidates, l.fleetSize, l.lendingZoneHosts = fleet.LenderCandidates, max(fleet.FleetSize, 1), fleet.LendingZoneHosts
	for workspace, c := range l.caches {
		a := fleet.Account(workspace)
		if a == nil || a.Rate <= 0 {
			delete(l.caches, workspace)
			continue
		}
		c.account = a
		c.fallback.SetLimits(now, a.Rate, a.Burst)
		c.fallback.UpdateShare(now, fleet.OtherDemand[workspace], l.fleetSize)
	}
	for _, workspace := range fleet.Workspaces {
		a := fleet.Account(workspace)
		if a == nil || a.Rate <= 0 || l.lenderHost(workspace) != l.host {
			delete(l.lenders, workspace)
			delete(l.borrowers, workspace)
			continue
		}
		l.updateLender(now, fleet, a)
	}
}

// updateLender sets how many of a workspace's tokens this instance lends. If another
// data centre lends them, this one does so only while the other does not reply.
func (l *RateLimiter) updateLender(now time.Time, fleet FleetState, a *berylaccount.Account) {
	lenderCount := fleet.LenderCount
	var lendingHosts []string
	if fleet.LendingZoneHosts != nil {
		lendingHosts, lenderCount = fleet.LendingZoneHosts(a.Workspace), 1
	}
	if len(lendingHosts) == 0 {
		delete(l.borrowers, a.Workspace)
	} else {
		b := l.borrower(a.Workspace)
		b.lendingHosts, lenderCount = lendingHosts, fleet.LenderCount
		if !b.LenderUnreachable(now) {
			delete(l.lenders, a.Workspace)
			return
		}
	}
	l.bucket(now, a).SetLimits(now, a.Rate, a.Burst, fleet.ReservedShare(a.Workspace), lenderCount)
}
