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

// Client reuses connections only while the server returns the id of each request, and sends an id
// once only on a connection. A second copy of an answer may arrive late, on a connection in use
// again. The id tells which request it answers, unless that id, too, was sent there again: by a
// retry, or by another nested call of the same root. Client is safe for concurrent use.
type Client struct {
	idHeader string
	idle     idle
	single   *http.Client // a connection for each request
	discard  func(id string, res *http.Response)
	echoes   atomic.Bool // whether the last answer had the id of its request
	omits    atomic.Bool // whether an answer had no id; some servers omit it only in errors
}

// errNoID means that an answer on a connection that was used before has no id, so that it may
// be an earlier answer once more. The request may have run.
var errNoID = errors.New("answer on a reused connection has no id of a request") //nolint:gochecknoglobals // A sentinel.

// OnDiscarded sets a function that is called with the id of a request and an answer that does not
// belong to it, because it has another id, or none on a connection that was used before. The
// function must not read the body.
func OnDiscarded(f func(id string, res *http.Response)) func(*Client) {
	return func(c *Client) { c.discard = f }
}

// New returns a client. idHeader is the name of the header field that holds the id of a
// request.
func New(dial beryltransport.Dial, idHeader string, opts ...func(*Client)) *Client {
	c := &Client{
		idHeader: idHeader, idle: idle{dial: dial}, single: beryltransport.HTTP1(dial, beryltransport.DisableKeepAlives),
		discard: func(string, *http.Response) {},
	}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Do sends a request. An answer that proves nothing is an error. One that has another id is
// returned; the caller has to compare.
func (c *Client) Do(req *http.Request) (*http.Response, error) {
	id := req.Header.Get(c.idHeader)
	if id != "" && c.echoes.Load() && !c.omits.Load() {
		return c.doReusing(req, id)
	}
	res, err := c.single.Do(req)
	if err != nil {
		return nil, err
	}
	c.record(id, res)
	return res, nil
}

// doReusing sends a request on a connection that was used before, if there is one.
func (c *Client) doReusing(req *http.Request, id string) (*http.Response, error) {
	cn := c.idle.take(id)
	var reused atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { reused.Store(info.Reused) }}
	res, err := cn.client.Do(withoutReplay(req).WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		cn.close()
		return nil, err
	}
	answeredID := c.record(id, res)
	if answeredID == id {
		res.Body = &body{ReadCloser: res.Body, onClose: func() { c.idle.put(cn) }}
		return res, nil
	}
	// The answer to this request may come as that to the next one.
	cn.close()
	if answeredID != "" || !reused.Load() {
		return res, nil
	}
	c.discard(id, res)
	_ = res.Body.Close() // The answer is not used.
	c.idle.close()
	return nil, errNoID
}

// record notes whether the server returns ids, and returns the id in the answer.
func (c *Client) record(id string, res *http.Response) string {
	answeredID := res.Header.Get(c.idHeader)
	c.echoes.Store(id != "" && answeredID == id)
	switch answeredID {
	case id:
	case "":
		c.omits.Store(true)
	default:
		c.discard(id, res)
	}
	return answeredID
}

// CloseIdleConnections closes all connections on which no request is running.
func (c *Client) CloseIdleConnections() { c.idle.close() }
