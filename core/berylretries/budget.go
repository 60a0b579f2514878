// Package berylretries limits the retries that one instance sends to a service.
//
// It prevents retry storms, in which every hop that retries a failed request
// multiplies the load of the services below it. Retries are limited to a fixed
// ratio of first attempts, so that the ratio over the whole fleet is the same
// however many instances take part.
package berylretries

// Budget is the retry budget of one service at one instance. It is not safe for
// concurrent use.
type Budget struct {
	tokens float64
}

const (
	retryRatio    = 0.07 // retries per first attempt; a third of what the whole fleet may retry
	maxTokens     = 3.0  // retries that can be saved up
	initialTokens = 1.0  // retries allowed before the first request
)

// New returns the budget of a service to which nothing has been sent yet.
func New() *Budget { return &Budget{tokens: initialTokens} }

// RecordRequest records the first attempt of a request.
func (b *Budget) RecordRequest() { b.tokens = min(maxTokens, b.tokens+retryRatio) }

// Take takes one retry from the budget and reports whether there was one.
func (b *Budget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
