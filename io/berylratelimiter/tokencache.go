package berylratelimiter

import (
	"context"
	"time"

	"berylspan/core/berylaccount"
	"berylspan/core/berylquota"
)

// tokenCache holds the tokens of one workspace at this instance.
type tokenCache struct {
	account      *berylaccount.Account
	fallback     *berylquota.Quota // used while no lender replies; also measures the demand
	tokens       int
	expiresAt    time.Time // of all tokens
	requestedAt  time.Time
	pending      bool          // the last request has no reply yet
	waitingCount int           // requests of callers that wait for a reply
	deniedUntil  time.Time     // the lender has no tokens before
	replied      chan struct{} // closed and replaced at every reply
}

func (l *RateLimiter) cache(now time.Time, a *berylaccount.Account) *tokenCache {
	c := l.caches[a.Workspace]
	if c == nil {
		c = &tokenCache{fallback: berylquota.New(now, a.Rate, a.Burst, l.fleetSize), replied: make(chan struct{})}
		l.caches[a.Workspace] = c
	}
	if c.account != a {
		c.account = a
		c.fallback.SetLimits(now, a.Rate, a.Burst)
	}
	return c
}

// Take takes a token for one request. If there is none, it returns how long until one
// may be available.
func (l *RateLimiter) Take(ctx context.Context, a *berylaccount.Account) (bool, time.Duration) {
	c, replied, ok, wait := l.takeCached(a)
	if replied == nil {
		return ok, wait
	}
	ok, wait = l.awaitReply(ctx, c, replied)
	l.mu.Lock()
	defer l.mu.Unlock()
	c.waitingCount--
	return ok, wait
}

// takeCached takes a token if there is one, or returns how long until one may be available.
// If the lender has to be asked first, it returns the channel that is closed with its reply;
// the request then counts as waiting.
func (l *RateLimiter) takeCached(a *berylaccount.Account) (c *tokenCache, replied chan struct{}, ok bool, wait time.Duration) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	c = l.cache(now, a)
	c.fallback.RecordRequest(now)
	if !now.Before(c.expiresAt) {
		c.tokens = 0
	}
	if c.tokens > 0 {
		c.tokens--
		l.prefetchIfLow(now, c)
		return c, nil, true, 0
	}
	if now.Before(c.deniedUntil) {
		return c, nil, false, c.deniedUntil.Sub(now)
	}
	replied = c.replied // requestTokens may get a reply at once and replace it.
	c.waitingCount++
	l.requestTokens(now, c, max(c.waitingCount, l.prefetchTokens(now, c)))
	return c, replied, false, 0
}

// awaitReply waits for the lender's reply and takes a token. If other requests have
// taken all tokens of the reply, it requests more. It falls back on the own share of
// the rate only if no reply comes.
func (l *RateLimiter) awaitReply(ctx context.Context, c *tokenCache, replied chan struct{}) (bool, time.Duration) {
	timer := time.NewTimer(replyTimeout)
	defer timer.Stop()
	for {
		gotReply := false
		select {
		case <-replied:
			gotReply = true
		case <-timer.C:
		case <-ctx.Done():
		}
		next, ok, wait := l.takeReplied(c, gotReply)
		if next == nil {
			return ok, wait
		}
		replied = next
	}
}

// takeReplied takes a token after a reply of the lender, or from the own share of the rate
// if none came. If other requests have taken all tokens of the reply, it requests more and
// returns the channel that is closed with the next reply.
func (l *RateLimiter) takeReplied(c *tokenCache, gotReply bool) (replied chan struct{}, ok bool, wait time.Duration) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case c.tokens > 0 && now.Before(c.expiresAt):
		c.tokens--
		l.prefetchIfLow(now, c)
		return nil, true, 0
	case now.Before(c.deniedUntil):
		return nil, false, c.deniedUntil.Sub(now)
	case !gotReply:
		ok, wait = c.fallback.Take(now)
		return nil, ok, wait
	}
	replied = c.replied
	l.requestTokens(now, c, max(c.waitingCount, l.prefetchTokens(now, c)))
	return replied, false, 0
}

// prefetchIfLow requests tokens ahead when less than half of the prefetch is left.
func (l *RateLimiter) prefetchIfLow(now time.Time, c *tokenCache) {
	if n := l.prefetchTokens(now, c); c.tokens < (n+1)/2 && !now.Before(c.deniedUntil) {
		l.requestTokens(now, c, n)
	}
}

// prefetchTokens returns how many tokens to hold for future requests. At a low demand
// that is none: they would expire here while other instances lack them.
func (l *RateLimiter) prefetchTokens(now time.Time, c *tokenCache) int {
	return min(int(c.fallback.Demand(now)*prefetchSeconds), maxPrefetchTokens)
}

// requestTokens requests as many tokens from the lender as are missing to hold n. The
// lender may be this instance.
func (l *RateLimiter) requestTokens(now time.Time, c *tokenCache, n int) {
	if c.pending && now.Sub(c.requestedAt) < replyTimeout {
		return
	}
	workspace := c.account.Workspace
	want := max(1, n-c.tokens)
	lender := l.lenderHost(workspace)
	if lender == l.host {
		if n, wait, answered := l.lend(now, c.account, l.host, want); answered {
			l.handleReply(now, c, n, wait)
			return
		}
	}
	c.pending, c.requestedAt = true, now
	if lender != l.host {
		l.send(lender, Message{Requested: map[string]int{workspace: want}})
	}
}

// handleReply handles the lender's reply.
func (l *RateLimiter) handleReply(now time.Time, c *tokenCache, n int, wait time.Duration) {
	c.pending = false
	// The own share of the rate only counts while no lender replies.
	c.fallback.Drain(now)
	if n > 0 {
		c.tokens += n
		c.expiresAt = now.Add(tokenLifetime)
		c.deniedUntil = time.Time{}
	} else {
		c.deniedUntil = now.Add(min(max(wait, minDenialTime), maxDenialTime))
	}
	close(c.replied)
	c.replied = make(chan struct{})
}

// Return gives back the token of a request that did not run.
func (l *RateLimiter) Return(workspace string) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if c := l.caches[workspace]; c != nil {
		if !now.Before(c.expiresAt) {
			c.tokens, c.expiresAt = 0, now.Add(tokenLifetime)
		}
		c.tokens++
	}
}
