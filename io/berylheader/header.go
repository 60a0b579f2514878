// Package berylheader names the headers that daemons add and removes those that
// must not travel on.
package berylheader

import (
	"net/http"
	"strings"
)

// Headers that callers send or see.
const (
	Key         = "Beryl-Key"
	Idempotency = "Idempotency-Key"
	Run         = "Beryl-Run"
	Reason      = "Beryl-Reason"
	Call        = "Beryl-Call"
	After       = "Retry-After"
)

// Token is the header by which a backend server names the call that it works
// for.
const Token = "Beryl-Token"

// Headers that only daemons may send.
const (
	Peer      = "Beryl-Peer"
	Workspace = "Beryl-Workspace"
	Class     = "Beryl-Class"
	Rank      = "Beryl-Rank"
	Left      = "Beryl-Left"
	Hops      = "Beryl-Hops"
	Start     = "Beryl-Start"
	Repeat    = "Beryl-Repeat"
	Path      = "Beryl-Path"
	Cut       = "Beryl-Cut"
	Wait      = "Beryl-Wait"
)

const prefix = "Beryl-"

// skipped tells whether a header belongs to one connection or protocol and is
// made anew by the next hop.
func skipped(name string) bool {
	switch name {
	case "Accept-Encoding", "Connection", "Content-Encoding", "Content-Length",
		"Content-Type", "Date", "Host", "Keep-Alive", "Proxy-Authenticate",
		"Proxy-Authorization", "Proxy-Connection", "Te", "Timeout", "Trailer",
		"Transfer-Encoding", "Upgrade", "User-Agent", "Vary", "Accept",
		"Authorization", "Cookie", Idempotency:
		return true
	}
	return strings.HasPrefix(name, "Connect-") || strings.HasPrefix(name, "Grpc-") ||
		strings.HasPrefix(name, prefix)
}

// Clean returns the headers that travel on. Values that contain key are left
// out; key may be empty.
func Clean(h http.Header, key string) http.Header {
	out := make(http.Header, len(h))
	for name, vs := range h {
		if skipped(name) || key != "" && holds(vs, key) {
			continue
		}
		out[name] = vs
	}
	return out
}

func holds(vs []string, key string) bool {
	for _, v := range vs {
		if strings.Contains(v, key) {
			return true
		}
	}
	return false
}

// CallerKey returns the key that came with a request, from Beryl-Key or from
// Authorization: Bearer.
func CallerKey(h http.Header) string {
	if k := h.Get(Key); k != "" {
		return k
	}
	k, ok := strings.CutPrefix(h.Get("Authorization"), "Bearer ")
	if !ok {
		return ""
	}
	return strings.TrimSpace(k)
}

// Add copies every header of src to dst.
func Add(dst, src http.Header) {
	for name, vs := range src {
		dst[name] = append(dst[name], vs...)
	}
}
