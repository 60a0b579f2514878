// Package berylsends bounds what is sent again to a service.
//
// It answers the retry storm: every hop that repeats a failed request multiplies
// the load of the services below it. Repeats are a fixed share of first sends,
// so that their sum over the fleet keeps the same share however many instances
// take part.
package berylsends

// Sends holds the allowance of one service at one instance. It is not safe for
// concurrent use.
type Sends struct {
	tokens float64
}

const (
	share = 0.07 // repeats per first send; a third of what a fleet may repeat
	most  = 3.0  // repeats saved up
	start = 1.0  // repeats allowed before anything was sent
)

// New returns an allowance for a service that nothing was sent to yet.
func New() *Sends { return &Sends{tokens: start} }

// First records a request's first send.
func (s *Sends) First() { s.tokens = min(most, s.tokens+share) }

// Again takes one repeat and tells whether there was one.
func (s *Sends) Again() bool {
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}
