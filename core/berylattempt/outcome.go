// Package berylattempt describes the outcome of an attempt to send a request to a backend
// server, and whether the request may be retried.
package berylattempt

// Outcome is what is known about the request after one attempt.
type Outcome int

// Possible outcomes.
const (
	// Answered means that the backend server ran the request and answered.
	Answered Outcome = iota
	// Unsent means that the request certainly did not reach a backend server.
	Unsent
	// Rejected means that a backend server received the request and reported that it
	// did not run it.
	Rejected
	// Unknown means that the backend server may have run the request.
	Unknown
)

// String returns the name of the outcome as used in logs, in metrics and in messages
// between daemons.
func (o Outcome) String() string {
	switch o {
	case Answered:
		return "answered"
	case Unsent:
		return "unsent"
	case Rejected:
		return "rejected"
	}
	return "unknown"
}

// Parse returns the outcome that s names, or Unknown for any other string.
func Parse(s string) Outcome {
	for _, o := range []Outcome{Answered, Unsent, Rejected} {
		if o.String() == s {
			return o
		}
	}
	return Unknown
}

// Arrived reports whether the attempt counts as an arrival at a backend server.
func (o Outcome) Arrived() bool { return o != Unsent }

// MayRetry reports whether the request may be sent again. Unsafe requests must run at
// most once. Safe requests have no side effects, so an answer with a server error may
// be replaced by the answer of another attempt.
func (o Outcome) MayRetry(safe bool, status int) bool {
	switch o {
	case Unsent, Rejected:
		return true
	case Answered:
		return safe && status >= 500
	}
	return safe
}
