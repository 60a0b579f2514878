// Package berylretries limits the retries that one instance sends to a service.
//
// It prevents retry storms, in which every hop that retries a failed request
// multiplies the load of the services below it. Retries are limited to a fixed
// ratio of first attempts, so that the ratio over the whole fleet is the same
// however many instances take part.
//
// A call that a backend server rejected has not run, so that its retry multiplies
// nothing. While all servers of a service reject most of what arrives, such retries
// are what lets calls through, and they may use more of what the whole fleet may
// retry, counted over the fleet's window. They are spread over the window: those of the first
// second would otherwise leave nothing for the requests of the others.
package berylretries

import "time"

// Budget is the retry budget of one service at one instance. It is not safe for
// concurrent use.
type Budget struct {
	tokens   float64
	start    time.Time // of second 0
	second   int64     // that the newest elements count
	requests [2 * window]int32
	retries  [window + 1]int32
	paced    float64 // retries of rejected requests that are due, less those promised for later
	pacedAt  time.Time
}

const (
	retryRatio    = 0.07 // retries per first attempt; a third of what the whole fleet may retry
	maxTokens     = 3.0  // retries that can be saved up
	initialTokens = 1.0  // retries allowed before the first request

	// RejectedRatio is the number of retries per first attempt, in the fleet's window, that
	// rejected requests may use. The rest of what the whole fleet may retry is left for the
	// calls of requests that run again, and for instances whose windows of most requests differ.
	RejectedRatio = 0.16

	window   = 10  // seconds over which the fleet's retries are counted
	spread   = 8   // seconds over which the retries of rejected requests are spread, so that all are used before the first leave the window
	maxBurst = 0.3 // seconds' worth of retries of rejected requests that can be saved up
)

// New returns the budget of a service to which nothing has been sent yet.
func New() *Budget { return &Budget{tokens: initialTokens} }

// RecordRequest records the first attempt of a request.
func (b *Budget) RecordRequest(now time.Time) {
	b.advance(now)
	b.requests[b.second%int64(len(b.requests))]++
	b.tokens = min(maxTokens, b.tokens+retryRatio)
}

// Take takes one retry from the budget and reports whether there was one.
func (b *Budget) Take(now time.Time) bool {
	b.advance(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	b.retries[b.second%int64(len(b.retries))]++
	return true
}

// TakeRejected is Take for a request that a backend server has rejected. The retry is due after
// the time that it returns, at most maxWait.
func (b *Budget) TakeRejected(now time.Time, maxWait time.Duration) (wait time.Duration, ok bool) {
	if b.Take(now) {
		return 0, true
	}
	allowed, rate := b.pace(now)
	if float64(b.retriesInWindow()+1) > allowed {
		return 0, false
	}
	if b.paced < 1 {
		wait = time.Duration((1 - b.paced) / rate * float64(time.Second))
	}
	if wait > maxWait {
		return 0, false
	}
	b.paced--
	b.retries[b.second%int64(len(b.retries))]++
	return wait, true
}

// pace adds the retries of rejected requests that have become due. It returns the number
// allowed in a window and the rate at which they become due.
func (b *Budget) pace(now time.Time) (allowed, rate float64) {
	allowed = RejectedRatio * float64(b.requestsInWindow())
	rate = allowed / spread
	b.paced = min(b.paced+rate*max(0, now.Sub(b.pacedAt).Seconds()), max(1, rate*maxBurst))
	b.pacedAt = now
	return allowed, rate
}

// advance clears the elements of the seconds that have begun since the last call.
func (b *Budget) advance(now time.Time) {
	if b.start.IsZero() {
		b.start = now
	}
	second := int64(now.Sub(b.start) / time.Second)
	if second-b.second >= int64(len(b.requests)) {
		b.requests, b.retries = [len(b.requests)]int32{}, [len(b.retries)]int32{}
		b.second = second
	}
	for b.second < second {
		b.second++
		b.requests[b.second%int64(len(b.requests))] = 0
		b.retries[b.second%int64(len(b.retries))] = 0
	}
}

// retriesInWindow returns the retries of the last window, and of up to a second before.
func (b *Budget) retriesInWindow() int {
	n := 0
	for _, c := range b.retries {
		n += int(c)
	}
	return n
}

// requestsInWindow returns the requests of the last window, of the one before it or of the one
// half a window before it, whichever has most: while requests are refused because the service rejects
// most calls, the usual number still counts.
func (b *Budget) requestsInWindow() int {
	last, half, before := 0, 0, 0
	for age := range int64(len(b.requests)) {
		if age > b.second {
			break
		}
		n := int(b.requests[(b.second-age)%int64(len(b.requests))])
		if age < window {
			last += n
		} else {
			before += n
		}
		if age >= window/2 && age < window+window/2 {
			half += n
		}
	}
	return max(last, half, before)
}
