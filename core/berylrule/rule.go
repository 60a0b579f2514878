// Package berylrule describes one published HTTP route.
package berylrule

import (
	"time"

	"berylspan/core/berylpart"
)

// Rule says where requests for a host and path prefix go. Repeatable requests
// may run more than once; all others at most once. Timeout is how long a caller
// may be kept waiting, 0 without bound. Target is the time within which an
// answer is of full use. Rank 0 is the most important. Attempts bounds the
// backend servers that one request is sent to. Open rules need no key.
type Rule struct {
	Name       string
	Host       string
	Prefix     string
	Repeatable bool
	Timeout    time.Duration
	Target     time.Duration
	Rank       int
	Attempts   int
	Open       bool
	Parts      []berylpart.Part
}
