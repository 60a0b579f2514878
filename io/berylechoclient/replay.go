package berylechoclient

import (
	"net/http"
	"strings"
)

// withoutReplay returns a request that net/http does not send again by itself when the server closes
// the connection without an answer. It does so if a header has one of these names in canonical form.
func withoutReplay(req *http.Request) *http.Request {
	copied := false
	for _, name := range []string{"Idempotency-Key", "X-Idempotency-Key"} {
		values, ok := req.Header[name]
		if !ok {
			continue
		}
		if !copied {
			req, copied = req.Clone(req.Context()), true
		}
		delete(req.Header, name)
		req.Header[strings.ToLower(name)] = values
	}
	return req
}
