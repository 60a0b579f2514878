// Package berylroute describes the RPC methods that callers and backend servers may
// call.
package berylroute

import (
	"time"

	"berylspan/core/berylclass"
)

// Route is one RPC method. Path has the form /package.Service/Method. Timeout
// bounds a unary call as a whole, and in a stream the time from one message to the
// next. Routes exempt from authentication need no API key. Internal routes can be
// called only by backend servers.
type Route struct {
	Path       string
	Service    string
	Class      berylclass.Class
	Idempotent bool
	AuthExempt bool
	Internal   bool
	Streaming  bool
	Timeout    time.Duration
}
