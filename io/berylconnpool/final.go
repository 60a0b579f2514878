package berylconnpool

import (
	"errors"
	"net/http"
	"strings"

	"berylspan/core/berylhttpstatus"
	"berylspan/io/beryllimitedreader"
)

// maxInterimResponses is the number of interim responses that are skipped before a final one.
const maxInterimResponses = 16

var errStatus = errors.New("response has a status that no answer may have, or too many interim ones came") //nolint:gochecknoglobals // A sentinel.

// readFinalResponse returns the next response that is not interim. A response whose status is
// neither that of an answer nor interim is an error: nothing tells where it ends and whether the
// request ran.
func (e *exchange) readFinalResponse(req *http.Request) (*http.Response, error) {
	for range maxInterimResponses + 1 {
		resp, err := e.readHead(req)
		if err != nil || berylhttpstatus.IsFinal(resp.StatusCode) {
			return resp, err
		}
		if !berylhttpstatus.IsInterim(resp.StatusCode) || announcesBody(resp) || !e.conn.nextMayBeResponse() {
			e.discard(resp)
			return nil, errStatus
		}
	}
	return nil, errStatus
}

// readHead reads the status line and the header of a response.
func (e *exchange) readHead(req *http.Request) (*http.Response, error) {
	e.conn.limiter.Remaining = maxResponseHead
	resp, err := http.ReadResponse(e.conn.br, req)
	if err != nil && e.conn.limiter.Exceeded() {
		err = beryllimitedreader.ErrLimit
	}
	e.conn.limiter.Remaining = beryllimitedreader.Unlimited
	return resp, err
}

// announcesBody reports whether the header of an interim response says that a body follows.
func announcesBody(resp *http.Response) bool {
	length := resp.Header.Get("Content-Length")
	return (length != "" && length != "0") || len(resp.TransferEncoding) > 0
}

// nextMayBeResponse waits for the next byte and reports whether what has arrived may begin a
// response.
func (c *conn) nextMayBeResponse() bool {
	const prefix = "HTTP/"
	if _, err := c.br.Peek(1); err != nil {
		return true // The next read returns the error.
	}
	b, _ := c.br.Peek(min(c.br.Buffered(), len(prefix))) // Buffered bytes can be read without an error.
	return strings.HasPrefix(prefix, string(b))
}
