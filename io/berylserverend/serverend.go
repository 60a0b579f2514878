// Package berylserverend describes the unplanned end of a backend server and the requests
// that it was running.
package berylserverend

import "berylspan/core/beryllifetime"

// ServerEnd is the end of one lifetime of a backend server. Requests are those that it had
// received and not answered.
type ServerEnd struct {
	Lifetime beryllifetime.Lifetime
	Requests []Request
}

// Request is a request that ended with its backend server.
type Request struct {
	ID          string
	Fingerprint uint64 // as of berylrequest.Request
	Trial       bool   // it ran as a trial, because servers had ended under it before
}
