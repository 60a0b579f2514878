// Package berylechoclient is an HTTP/1.1 client for a backend server that may send an answer
// twice.
package berylechoclient

import (
	"net/http"
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
}

// New returns a client. idHeader is the name of the header field that holds the id of a
// request.
func New(dial beryltransport.Dial, idHeader string) *Client {
	c := &Client{idHeader: idHeader, reusing: beryltransport.HTTP1(dial), single: beryltransport.HTTP1(dial)}
	if t, ok := c.single.Transport.(*http.Transport); ok {
		t.DisableKeepAlives = true
	}
	return c
}

// Do sends a request.
func (c *Client) Do(req *http.Request) (*http.Response, error) {
	client := c.single
	if c.echoes.Load() {
		client = c.reusing
	}
	res, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	id := req.Header.Get(c.idHeader)
	c.echoes.Store(id != "" && res.Header.Get(c.idHeader) == id)
	return res, nil
}

// CloseIdleConnections closes all connections on which no request is running.
func (c *Client) CloseIdleConnections() { c.reusing.CloseIdleConnections() }
