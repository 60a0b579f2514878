// Package berylechoclient is an HTTP/1.1 client for a backend server that may send an answer
// twice.
package berylechoclient

import (
	"errors"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"berylspan/io/beryltransport"
)

// Client reuses connections only while the server returns the id of each request. A second
// copy of an answer that arrives late on a connection in use again is taken for the answer
// to the next request; without the id nobody can tell. It is safe for concurrent use.
type Client struct {
	idHeader string
	reusing  *http.Client
	single   *http.Client // a connection for each request
	echoes   atomic.Bool  // whether the last answer had the id of its request
	omits    atomic.Bool  // whether an answer had no id; some servers omit it only in errors
}

// errNoID means that an answer on a connection that was used before has no id, so that it may
// be an earlier answer once more. The request may have run.
var errNoID = errors.New("answer on a reused connection has no id of a request") //nolint:gochecknoglobals // A sentinel.

// New returns a client. idHeader is the name of the header field that holds the id of a
// request.
func New(dial beryltransport.Dial, idHeader string) *Client {
	return &Client{idHeader: idHeader, reusing: beryltransport.HTTP1(dial), single: beryltransport.HTTP1(dial, beryltransport.DisableKeepAlives)}
}

// Do sends a request. An answer that proves nothing is an error.
func (c *Client) Do(req *http.Request) (*http.Response, error) {
	client := c.single
	if c.echoes.Load() && !c.omits.Load() {
		client = c.reusing
	}
	var reused atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { reused.Store(info.Reused) }}
	res, err := client.Do(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		return nil, err
	}
	id := req.Header.Get(c.idHeader)
	answeredID := res.Header.Get(c.idHeader)
	c.echoes.Store(id != "" && answeredID == id)
	if answeredID != "" {
		return res, nil
	}
	c.omits.Store(true)
	if !reused.Load() {
		return res, nil
	}
	_ = res.Body.Close() // The answer is not used.
	c.reusing.CloseIdleConnections()
	return nil, errNoID
}

// CloseIdleConnections closes all connections on which no request is running.
func (c *Client) CloseIdleConnections() { c.reusing.CloseIdleConnections() }
