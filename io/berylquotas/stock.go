package berylquotas

import (
	"context"
	"time"

	"berylspan/core/berylaccount"
	"berylspan/core/berylquota"
)

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

func (q *Quotas) stock(now time.Time, a *berylaccount.Account) *stock {
	s := q.stocks[a.Workspace]
	if s == nil {
		s = &stock{own: berylquota.New(now, a.Rate, a.Burst, q.fleet), answer: make(chan struct{})}
		q.stocks[a.Workspace] = s
	}
	if s.account != a {
		s.account = a
		s.own.SetLimits(now, a.Rate, a.Burst)
	}
	return s
}

// Take takes a token for one request. When there is none it returns how long
// until there may be one.
func (q *Quotas) Take(ctx context.Context, a *berylaccount.Account) (bool, time.Duration) {
	now := time.Now()
	q.mu.Lock()
	s := q.stock(now, a)
	s.own.RecordRequest(now)
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
		if n, wait, answered := q.lend(now, s.account, q.host, want); answered {
			q.lent(now, s, n, wait)
			return
		}
	}
	s.pending, s.asked = true, now
	if to != q.host {
		q.send(to, Message{Ask: map[string]int{workspace: want}})
	}
}

// lent takes in the lender's answer.
func (q *Quotas) lent(now time.Time, s *stock, n int, wait time.Duration) {
	s.pending = false
	// The own part only counts for the time in which no lender answers.
	s.own.Drain(now)
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
