// Package berylexchange describes a request that daemons forward, and where the
// messages of a streaming answer go.
package berylexchange

import "net/http"

// Exchange is a request whose message is forwarded unchanged. Protocol is connect, grpc
// or grpcweb, Codec is proto or json. Sink is nil for unary calls. For streams it
// receives each message of the answer together with the header of the answer, which is
// the same for every message.
type Exchange struct {
	Path     string
	Protocol string
	Codec    string
	Header   http.Header
	Body     []byte
	Sink     func(header http.Header, message []byte) error
}
