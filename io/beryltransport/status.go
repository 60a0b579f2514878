package beryltransport

import (
	"errors"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync/atomic"

	"berylspan/core/berylhttpstatus"
)

// maxInterimResponses is the number of interim responses that are skipped before an answer.
const maxInterimResponses = 16

// errStatus means that nothing tells whether the request ran.
var errStatus = errors.New("response has a status that no answer may have, or too many interim ones came") //nolint:gochecknoglobals // A sentinel.

// statusChecker fails requests whose response has a status that no answer may have, or that get an
// interim response with a body or too many of them.
type statusChecker struct{ *http.Transport }

// CheckStatus returns a transport that accepts responses with a possible status only. net/http
// takes any three digits, and reads an answer with status 101 without regard to the context of the
// request.
func CheckStatus(t *http.Transport) http.RoundTripper { return statusChecker{t} }

// RoundTrip sends a request.
func (s statusChecker) RoundTrip(req *http.Request) (*http.Response, error) {
	var interim atomic.Int32
	trace := &httptrace.ClientTrace{Got1xxResponse: func(_ int, h textproto.MIMEHeader) error {
		if length := h.Get("Content-Length"); interim.Add(1) > maxInterimResponses || (length != "" && length != "0") {
			return errStatus
		}
		return nil
	}}
	res, err := s.Transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if !berylhttpstatus.IsFinal(res.StatusCode) {
		_ = res.Body.Close()     // The answer is not used.
		s.CloseIdleConnections() // That of the answer may be among them.
		return nil, errStatus
	}
	return res, nil
}
