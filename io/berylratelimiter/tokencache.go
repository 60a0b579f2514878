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
	ownSpent     int               // tokens of the own share that were spent and not taken off a reply
	repliedAt    time.Time         // when the lender replied last
	tokens       int
	expiresAt    time.Time // of all tokens
	requestedAt  time.Time
	pending      bool          // the last request has no reply yet
	asked        string        // host that the last request was sent to
	waitingCount int           // requests of callers that wait for a token
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

// Take takes a token for one request. If there is none, it waits for one, but no longer than
// maxWait after the lender has denied one, and not at all if other requests already wait for
// all tokens that become available until then. If it takes none, it returns how long until
// one may be available.
//
// A workspace within its rate that sends at random finds its bucket empty at times. A short
// wait then serves the caller sooner than a refusal and a retry.
func (l *RateLimiter) Take(ctx context.Context, a *berylaccount.Account, maxWait time.Duration) (bool, time.Duration) {
	deadline := time.Now().Add(maxWait)
	c, step := l.startTake(a, deadline)
	defer l.endTake(c)
	for !step.ended {
		gotReply := false
		timer := time.NewTimer(step.wait)
		select {
		case <-step.replied:
			gotReply = true
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return false, 0
		}
		timer.Stop()
		step = l.continueTake(c, deadline, step.asked && !gotReply)
	}
	return step.ok, step.wait
}

// takeStep is what a request that needs a token does next. If it has ended, ok tells whether
// it took a token, and wait how long until one may be available otherwise. If not, it waits
// for a reply of the lender, but no longer than wait. asked tells whether that is the time
// within which the lender must reply.
type takeStep struct {
	ended, ok, asked bool
	wait             time.Duration
	replied          chan struct{}
}

func (l *RateLimiter) startTake(a *berylaccount.Account, deadline time.Time) (*tokenCache, takeStep) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.cache(now, a)
	c.fallback.RecordRequest(now)
	step := l.take(now, c, deadline, c.waitingCount)
	c.waitingCount++
	return c, step
}

func (l *RateLimiter) continueTake(c *tokenCache, deadline time.Time, lenderSilent bool) takeStep {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if lenderSilent && (c.tokens == 0 || !now.Before(c.expiresAt)) && !now.Before(c.deniedUntil) {
		ok, wait := c.takeOwn(now)
		return takeStep{ended: true, ok: ok, wait: wait}
	}
	return l.take(now, c, deadline, 0)
}

func (l *RateLimiter) endTake(c *tokenCache) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.waitingCount--
}

// take takes a token if there is one, and otherwise asks the lender for one unless it has
// denied one a short time ago. ahead is the number of requests that get a token first.
func (l *RateLimiter) take(now time.Time, c *tokenCache, deadline time.Time, ahead int) takeStep {
	if !now.Before(c.expiresAt) {
		c.tokens = 0
	}
	if c.tokens > 0 {
		c.tokens--
		l.prefetchIfLow(now, c)
		return takeStep{ended: true, ok: true}
	}
	if wait := c.deniedUntil.Sub(now); wait > 0 {
		room := c.deniedUntil.Add(time.Duration(float64(ahead) / c.account.Rate * float64(time.Second)))
		return takeStep{ended: room.After(deadline), wait: wait, replied: c.replied}
	}
	step := takeStep{asked: true, wait: replyTimeout, replied: c.replied} // requestTokens may get a reply at once and replace c.replied.
	l.requestTokens(now, c, max(c.waitingCount, l.prefetchTokens(now, c), 1))
	return step
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
	c.pending, c.requestedAt, c.asked = true, now, lender
	if lender != l.host {
		l.send(lender, Message{Requested: map[string]int{workspace: want}})
	}
}

// handleReply handles the lender's reply.
func (l *RateLimiter) handleReply(now time.Time, c *tokenCache, n int, wait time.Duration) {
	c.pending = false
	n = c.withoutOwnSpent(now, n)
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

// takeOwn takes a token of the own share of the rate.
func (c *tokenCache) takeOwn(now time.Time) (bool, time.Duration) {
	ok, wait := c.fallback.Take(now)
	if ok {
		c.ownSpent++
	}
	return ok, wait
}

// withoutOwnSpent returns how many of n tokens that the lender has lent may be used. A slow
// lender lends the whole rate, only later than the own share is used instead, so what was spent
// of the own share is taken off. What was spent while the lender was down is not: a lender keeps
// back the shares of those that do not hear it, and a new one starts without tokens.
func (c *tokenCache) withoutOwnSpent(now time.Time, n int) int {
	if now.Sub(c.repliedAt) > lateReplyTime {
		c.ownSpent = 0
	}
	c.repliedAt = now
	spent := min(n, c.ownSpent)
	c.ownSpent -= spent
	return n - spent
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
