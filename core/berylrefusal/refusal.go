// Package berylrefusal describes why a call was refused and whether it ran.
package berylrefusal

import (
	"time"

	"connectrpc.com/connect"
)

// Refusal is the error that a caller receives instead of a backend server's answer.
// MayHaveRun is false only if it is certain that no backend server began the call.
// RetryAfter is how long the caller should wait before it retries, 0 when unknown.
type Refusal struct {
	Reason     string
	Code       connect.Code
	MayHaveRun bool
	RetryAfter time.Duration
	Text       string
}

// Error returns the message for callers.
func (r *Refusal) Error() string { return r.RunStatus() + ": " + r.Text }

// RunStatus returns NotRun or Unknown.
func (r *Refusal) RunStatus() string {
	if r.MayHaveRun {
		return Unknown
	}
	return NotRun
}

// The possible values of RunStatus. Every refusal carries one.
const (
	NotRun  = "not run"
	Unknown = "unknown"
)

// Reasons, as they appear in metrics, in the output of explain and in the header of
// the refusal.
const (
	Key      = "key"      // no valid key, or a nested call without a live parent call
	Route    = "route"    // no such route, or the call chain is too deep
	Plan     = "plan"     // the plan of the workspace does not include the route
	Rate     = "rate"     // no token of the workspace was available, or the time to start ran out while the call waited
	Overload = "overload" // shed by load shedding
	Deadline = "deadline" // too little or no time was left
	Backend  = "backend"  // no instance or answer, or the backend server rejected the call
	Repeat   = "repeat"   // the idempotency key was used before
	Owner    = "owner"    // the owner of the idempotency key did not answer, is full or restarted recently
	Starting = "starting" // the instance has no configuration yet
	Leaving  = "leaving"  // the instance is draining
	Form     = "form"     // invalid request
	Answer   = "answer"   // the answer belongs to another call
	Stalled  = "stalled"  // a stream sent no message in time
	Canceled = "canceled" // the caller gave up
)

// NewNotRun returns a refusal of a call that certainly did not run.
func NewNotRun(reason string, code connect.Code, text string) *Refusal {
	return &Refusal{Reason: reason, Code: code, Text: text}
}

// NewMaybeRun returns a refusal of a call that may have run.
func NewMaybeRun(reason string, code connect.Code, text string) *Refusal {
	return &Refusal{Reason: reason, Code: code, Text: text, MayHaveRun: true}
}
