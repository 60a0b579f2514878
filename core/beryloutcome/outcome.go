// Package beryloutcome describes how a call ended.
package beryloutcome

import (
	"net/http"
	"time"

	"berylspan/core/berylrefusal"

	"connectrpc.com/connect"
)

// Outcome is either an answer of the backend server or a refusal. Err is an error that
// the backend server answered with.
//
// StreamStarted is set when the first message of a stream has been passed on.
// RetriesLeft is what remains of the call's retry allowance. Threshold is the admission
// threshold of the called instance (see beryllevel.Level), and PathThreshold the lowest
// one met there and further down the call chain. ExpectedWait is how long a call of the
// same order would wait for a slot at the called instance now. MaybeUnreachable is set
// when the called address may be unreachable.
type Outcome struct {
	CallID           string
	Header           http.Header
	Trailer          http.Header
	Body             []byte
	Err              *connect.Error
	Refusal          *berylrefusal.Refusal
	StreamStarted    bool
	RetriesLeft      int
	PathThreshold    float64
	Threshold        float64
	ExpectedWait     time.Duration
	MaybeUnreachable bool
}

// Refuse returns the outcome of a refused call.
func Refuse(r *berylrefusal.Refusal, retriesLeft int) *Outcome {
	return &Outcome{Refusal: r, RetriesLeft: retriesLeft}
}
