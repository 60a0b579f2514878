package berylechoclient

import (
	"io"
	"net/http"
	"sync"

	"berylspan/core/berylsentids"
)

// conn is a connection to the server, and the ids of the requests that were sent on it. One request
// at a time uses it, so its HTTP client has no other connection. After the server has closed the
// connection, the next request opens one; the ids stay.
type conn struct {
	client *http.Client
	sent   berylsentids.Set
}

// close closes the connection, as soon as no request is running on it.
func (c *conn) close() { c.client.CloseIdleConnections() }

// body calls onClose once when it is closed.
type body struct {
	io.ReadCloser

	once    sync.Once
	onClose func()
}

// Close closes the body.
func (b *body) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(b.onClose)
	return err
}
