// Package berylend says what is known of a request whose sending has ended.
package berylend

// End is what is known of one send.
type End int

// Ends.
const (
	// Answered: the backend server ran the request and answered.
	Answered End = iota
	// Unsent: the request certainly never reached a backend server.
	Unsent
	// Rejected: a backend server got the request and said that it did not run it.
	Rejected
	// Unknown: the backend server may have run the request.
	Unknown
)

// String returns the word that logs and messages use.
func (e End) String() string {
	switch e {
	case Answered:
		return "answered"
	case Unsent:
		return "unsent"
	case Rejected:
		return "rejected"
	}
	return "unknown"
}

// Parse returns the end that s names; any other word means Unknown.
func Parse(s string) End {
	for _, e := range []End{Answered, Unsent, Rejected} {
		if e.String() == s {
			return e
		}
	}
	return Unknown
}

// Arrived tells whether the send counts as an arrival at a backend server.
func (e End) Arrived() bool { return e != Unsent }

// MayRepeat tells whether sending again keeps the promise that requests which
// are not repeatable run at most once. An answer with a server error may be
// replaced by another attempt's, because repeatable requests have no effect.
func (e End) MayRepeat(repeatable bool, status int) bool {
	switch e {
	case Unsent, Rejected:
		return true
	case Answered:
		return repeatable && status >= 500
	}
	return repeatable
}
