// Package berylhop removes header fields that concern one connection only.
package berylhop

import (
	"net/http"
	"net/textproto"
	"strings"
)

// Strip removes the fields from h, those that it names itself included.
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
