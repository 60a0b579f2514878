// Package berylhttpstatus tells which status a response of an HTTP server may have.
package berylhttpstatus

import "net/http"

// IsFinal reports whether a response with the status can be the answer to a request.
func IsFinal(status int) bool { return status >= 200 && status <= 599 }

// IsInterim reports whether a response with the status can come before the answer to a request.
// 101 cannot, as no request asks for another protocol.
func IsInterim(status int) bool {
	return status >= 100 && status <= 199 && status != http.StatusSwitchingProtocols
}
