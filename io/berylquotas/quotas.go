// Package berylquotas keeps workspaces within their rates over the whole fleet.
//
// Tokens are borrowed from the instance that lends those of the workspace. While
// that cannot be heard an instance falls back on its own part of the rate. In a
// large fleet each data centre has such an instance, and one of these lends to the
// others.
package berylquotas

import (
	"sync"
	"time"

	"berylspan/core/berylaccount"
	"berylspan/core/berylhash"
	"berylspan/core/beryllender"
)

// Quotas is safe for concurrent use. Send passes a message to another instance.
type Quotas struct {
	host string
	send func(host string, m Message)

	mu      sync.Mutex
	alive   []string // hosts that lend, this one included
	fleet   int
	stocks  map[string]*stock
	lenders map[string]*beryllender.Lender
	// home returns the instances of the data centre that lends a workspace's
	// tokens, best first; none where that is the own one.
	home     func(workspace string) []string
	branches map[string]*branch
}

// Message asks for tokens or lends them, by workspace. WaitMs says when there
// are some again where none are lent. Borrow and Granted go between data centres;
// Asker is the host that a question came from which was passed on.
type Message struct {
	Ask     map[string]int `cbor:"1,keyasint,omitempty"`
	Lent    map[string]int `cbor:"2,keyasint,omitempty"`
	WaitMs  map[string]int `cbor:"3,keyasint,omitempty"`
	Borrow  map[string]int `cbor:"4,keyasint,omitempty"`
	Granted map[string]int `cbor:"5,keyasint,omitempty"`
	Asker   string         `cbor:"6,keyasint,omitempty"`
}

// Round is what an instance knows of the fleet at a tick.
type Round struct {
	Alive    []string                        // hosts that lend in the own data centre, or the fleet when that is small
	Fleet    int                             // number of all instances
	Lenders  int                             // data centres that lend, each its part, while they do not hear each other
	Others   map[string]float64              // requests per second that other instances are asked for, by workspace
	Reserved func(workspace string) float64  // part of a rate that those use which cannot be heard
	Home     func(workspace string) []string // instances of the lending data centre, best first; none for the own
	Account  func(workspace string) *berylaccount.Account
	All      []string // workspaces
}

const (
	stockFor   = 0.25                   // seconds of demand that are borrowed ahead
	mostStock  = 50                     // tokens
	stockLife  = time.Second            // of borrowed tokens
	askTimeout = 40 * time.Millisecond  // several times the delay between data centres
	leastWait  = 20 * time.Millisecond  // between two questions after a denial
	mostWait   = 100 * time.Millisecond // as above

	unknownFleet = 100 // instances, before anything is known of others; more than most fleets have
)

// New returns quotas for the instance at host.
func New(host string, send func(host string, m Message)) *Quotas {
	return &Quotas{host: host, send: send, alive: []string{host}, fleet: unknownFleet, stocks: map[string]*stock{}, lenders: map[string]*beryllender.Lender{}, branches: map[string]*branch{}}
}

// lender returns the host that lends the workspace's tokens. All instances that
// hear the same others agree on it.
func (q *Quotas) lender(workspace string) string {
	best, most := q.host, berylhash.Score(workspace, q.host)
	for _, host := range q.alive {
		if h := berylhash.Score(workspace, host); h > most || (h == most && host < best) {
			best, most = host, h
		}
	}
	return best
}

// lend lends tokens to the instance at from, or lets it wait.
func (q *Quotas) lend(now time.Time, a *berylaccount.Account, from string, want int) (n int, wait time.Duration, answered bool) {
	if b := q.branch(a.Workspace); b != nil {
		return q.lendBorrowed(now, a, b, from, want)
	}
	n, wait = q.bucket(now, a).Lend(now, want)
	return n, wait, true
}

func (q *Quotas) bucket(now time.Time, a *berylaccount.Account) *beryllender.Lender {
	l := q.lenders[a.Workspace]
	if l == nil {
		l = beryllender.New(now, a.Rate, a.Burst)
		q.lenders[a.Workspace] = l
	}
	return l
}

// Receive handles a message from another instance. Account finds a workspace.
func (q *Quotas) Receive(from string, m Message, account func(workspace string) *berylaccount.Account) {
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(m.Ask) > 0 {
		out := Message{Lent: map[string]int{}, WaitMs: map[string]int{}}
		for workspace, want := range m.Ask {
			a := account(workspace)
			if a == nil || q.lender(workspace) != q.host {
				continue // The asker falls back on its own part.
			}
			if n, wait, answered := q.lend(now, a, from, min(want, mostStock)); answered {
				out.Lent[workspace] = n
				out.WaitMs[workspace] = int(wait.Milliseconds())
			}
		}
		if len(out.Lent) > 0 {
			q.send(from, out)
		}
	}
	if len(m.Borrow) > 0 {
		q.lendFar(now, from, m, account)
	}
	for workspace, n := range m.Granted {
		q.granted(now, workspace, n, time.Duration(m.WaitMs[workspace])*time.Millisecond)
	}
	for workspace, n := range m.Lent {
		if s := q.stocks[workspace]; s != nil && s.pending {
			q.lent(now, s, n, time.Duration(m.WaitMs[workspace])*time.Millisecond)
		}
	}
}

// Demand returns what this instance is asked for, in requests per second by
// workspace.
func (q *Quotas) Demand() map[string]float64 {
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	out := make(map[string]float64, len(q.stocks))
	for workspace, s := range q.stocks {
		out[workspace] = s.own.Demand(now)
	}
	return out
}

// Tick sets who lends.
func (q *Quotas) Tick(r Round) {
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.alive, q.fleet, q.home = r.Alive, max(r.Fleet, 1), r.Home
	for workspace, s := range q.stocks {
		a := r.Account(workspace)
		if a == nil || a.Rate <= 0 {
			delete(q.stocks, workspace)
			continue
		}
		s.account = a
		s.own.SetLimits(now, a.Rate, a.Burst)
		s.own.UpdateShare(now, r.Others[workspace], q.fleet)
	}
	for _, workspace := range r.All {
		a := r.Account(workspace)
		if a == nil || a.Rate <= 0 || q.lender(workspace) != q.host {
			delete(q.lenders, workspace)
			delete(q.branches, workspace)
			continue
		}
		q.tickLender(now, r, a)
	}
}

// tickLender sets what this instance lends of one workspace's tokens. Another
// data centre's are lent only while that does not answer.
func (q *Quotas) tickLender(now time.Time, r Round, a *berylaccount.Account) {
	lenders := r.Lenders
	var home []string
	if r.Home != nil {
		home, lenders = r.Home(a.Workspace), 1
	}
	if len(home) == 0 {
		delete(q.branches, a.Workspace)
	} else {
		b := q.branch(a.Workspace)
		b.home, lenders = home, r.Lenders
		if !b.LenderUnreachable(now) {
			delete(q.lenders, a.Workspace)
			return
		}
	}
	q.bucket(now, a).SetLimits(now, a.Rate, a.Burst, r.Reserved(a.Workspace), lenders)
}
