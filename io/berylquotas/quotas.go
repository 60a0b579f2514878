// Package berylquotas keeps workspaces within their rates over the whole fleet.
//
// Tokens are borrowed from the instance that lends those of the workspace. While
// that cannot be heard an instance falls back on its own part of the rate.
package berylquotas

import (
	"context"
	"sync"
	"time"

	"berylspan/core/berylaccount"
	"berylspan/core/beryllender"
	"berylspan/core/berylquota"

	"github.com/cespare/xxhash/v2"
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
}

// Message asks for tokens or lends them, by workspace. WaitMs says when there
// are some again where none are lent.
type Message struct {
	Ask    map[string]int `cbor:"1,keyasint,omitempty"`
	Lent   map[string]int `cbor:"2,keyasint,omitempty"`
	WaitMs map[string]int `cbor:"3,keyasint,omitempty"`
}

// stock is what this instance holds of one workspace's tokens.
type stock struct {
	account *berylaccount.Account
	own     *berylquota.Quota // used while no lender answers
	tokens  int
	until   time.Time // when the tokens expire
	asked   time.Time
	pending bool
	waiting int       // requests that wait for an answer
	denied  time.Time // until when there are none
	answer  chan struct{}
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
	return &Quotas{host: host, send: send, alive: []string{host}, fleet: unknownFleet, stocks: map[string]*stock{}, lenders: map[string]*beryllender.Lender{}}
}

// lender returns the host that lends the workspace's tokens. All instances that
// hear the same others agree on it.
func (q *Quotas) lender(workspace string) string {
	best, most := q.host, uint64(0)
	for _, host := range q.alive {
		if h := xxhash.Sum64String(host + "\x00" + workspace); h >= most {
			best, most = host, h
		}
	}
	return best
}

func (q *Quotas) stock(now time.Time, a *berylaccount.Account) *stock {
	s := q.stocks[a.Workspace]
	if s == nil {
		s = &stock{own: berylquota.New(now, a.Rate, a.Burst, q.fleet), answer: make(chan struct{})}
		q.stocks[a.Workspace] = s
	}
	if s.account != a {
		s.account = a
		s.own.Set(now, a.Rate, a.Burst)
	}
	return s
}

// Take takes a token for one request. When there is none it returns how long
// until there may be one.
func (q *Quotas) Take(ctx context.Context, a *berylaccount.Account) (bool, time.Duration) {
	now := time.Now()
	q.mu.Lock()
	s := q.stock(now, a)
	s.own.Count(now)
	if !now.Before(s.until) {
		s.tokens = 0
	}
	if s.tokens > 0 {
		s.tokens--
		q.refill(now, s)
		q.mu.Unlock()
		return true, 0
	}
	if now.Before(s.denied) {
		wait := s.denied.Sub(now)
		q.mu.Unlock()
		return false, wait
	}
	ch := s.answer // Asking may answer at once.
	s.waiting++
	q.ask(now, s, max(s.waiting, q.ahead(now, s)))
	q.mu.Unlock()
	ok, wait := q.wait(ctx, s, ch)
	q.mu.Lock()
	s.waiting--
	q.mu.Unlock()
	return ok, wait
}

// wait waits for the lender's answer. Only when none comes does this instance
// fall back on its own part: answers that others have used up are asked for
// again.
func (q *Quotas) wait(ctx context.Context, s *stock, ch chan struct{}) (bool, time.Duration) {
	t := time.NewTimer(askTimeout)
	defer t.Stop()
	for {
		answered := false
		select {
		case <-ch:
			answered = true
		case <-t.C:
		case <-ctx.Done():
		}
		now := time.Now()
		q.mu.Lock()
		switch {
		case s.tokens > 0 && now.Before(s.until):
			s.tokens--
			q.refill(now, s)
			q.mu.Unlock()
			return true, 0
		case now.Before(s.denied):
			wait := s.denied.Sub(now)
			q.mu.Unlock()
			return false, wait
		case !answered:
			defer q.mu.Unlock()
			return s.own.Take(now)
		}
		ch = s.answer
		q.ask(now, s, max(s.waiting, q.ahead(now, s)))
		q.mu.Unlock()
	}
}

// refill borrows ahead when the stock runs low.
func (q *Quotas) refill(now time.Time, s *stock) {
	if n := q.ahead(now, s); s.tokens < (n+1)/2 && !now.Before(s.denied) {
		q.ask(now, s, n)
	}
}

// ahead is how many tokens to hold for requests to come. Where few come none are
// held: they would expire, and others lack them.
func (q *Quotas) ahead(now time.Time, s *stock) int {
	return min(int(s.own.Demand(now)*stockFor), mostStock)
}

// ask asks the lender for tokens, to hold n; this instance may be it.
func (q *Quotas) ask(now time.Time, s *stock, n int) {
	if s.pending && now.Sub(s.asked) < askTimeout {
		return
	}
	workspace := s.account.Workspace
	want := max(1, n-s.tokens)
	to := q.lender(workspace)
	if to == q.host {
		n, wait := q.lend(now, s.account, want)
		q.lent(now, s, n, wait)
		return
	}
	s.pending, s.asked = true, now
	q.send(to, Message{Ask: map[string]int{workspace: want}})
}

func (q *Quotas) lend(now time.Time, a *berylaccount.Account, want int) (int, time.Duration) {
	l := q.lenders[a.Workspace]
	if l == nil {
		l = beryllender.New(now, a.Rate, a.Burst)
		q.lenders[a.Workspace] = l
	}
	return l.Lend(now, want)
}

// lent takes in the lender's answer.
func (q *Quotas) lent(now time.Time, s *stock, n int, wait time.Duration) {
	s.pending = false
	// The own part only counts for the time in which no lender answers.
	s.own.Empty(now)
	if n > 0 {
		s.tokens += n
		s.until = now.Add(stockLife)
		s.denied = time.Time{}
	} else {
		s.denied = now.Add(min(max(wait, leastWait), mostWait))
	}
	close(s.answer)
	s.answer = make(chan struct{})
}

// Return gives back the token of a request that did not run.
func (q *Quotas) Return(workspace string) {
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	if s := q.stocks[workspace]; s != nil {
		if !now.Before(s.until) {
			s.tokens, s.until = 0, now.Add(stockLife)
		}
		s.tokens++
	}
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
			n, wait := q.lend(now, a, min(want, mostStock))
			out.Lent[workspace] = n
			out.WaitMs[workspace] = int(wait.Milliseconds())
		}
		q.send(from, out)
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

// Tick sets who lends. Others holds the demand of the other instances; reserved
// returns the part of a rate that those use which cannot be heard. Fleet is the
// number of all instances; lenders is how many lend tokens of one workspace.
func (q *Quotas) Tick(alive []string, fleet, lenders int, others map[string]float64, reserved func(workspace string) float64, account func(workspace string) *berylaccount.Account, all []string) {
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.alive, q.fleet = alive, max(fleet, 1)
	for workspace, s := range q.stocks {
		a := account(workspace)
		if a == nil || a.Rate <= 0 {
			delete(q.stocks, workspace)
			continue
		}
		s.account = a
		s.own.Set(now, a.Rate, a.Burst)
		s.own.Share(now, others[workspace], q.fleet)
	}
	for _, workspace := range all {
		a := account(workspace)
		if a == nil || a.Rate <= 0 || q.lender(workspace) != q.host {
			delete(q.lenders, workspace)
			continue
		}
		l := q.lenders[workspace]
		if l == nil {
			l = beryllender.New(now, a.Rate, a.Burst)
			q.lenders[workspace] = l
		}
		l.Set(now, a.Rate, a.Burst, reserved(workspace), lenders)
	}
}
