// Package berylhopheaders removes hop-by-hop header fields. These apply to a single connection
// and must not be forwarded by a proxy (RFC 9110, section 7.6.1).
package berylhopheaders

import (
	"net/http"
	"net/textproto"
	"strings"
)

// Strip removes the hop-by-hop fields from h, including those that its Connection
// field lists.
func Strip(h http.Header) {
	for _, v := range h["Connection"] {
		for _, name := range strings.Split(v, ",") {
			if name = textproto.TrimString(name); name != "" {
				h.Del(name)
			}
		}
	}
	for _, name := range []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade"} {
		delete(h, name)
	}
}
