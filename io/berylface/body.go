package berylface

import (
	"errors"
	"io"
	"net/http"
	"sync"
)

// rest is the part of a long body that is read while the request runs.
type rest struct {
	mu    sync.Mutex
	r     io.Reader
	done  chan struct{}
	whole bool
	ended bool
}

var errBody = errors.New("the body of the request is too long") //nolint:gochecknoglobals // A sentinel.

// Read passes on the body and notes its end.
func (b *rest) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended {
		return 0, io.EOF
	}
	n, err := b.r.Read(p)
	if err != nil {
		b.ended = true
		b.whole = errors.Is(err, io.EOF)
		close(b.done)
	}
	return n, err
}

// finish reads what nobody wanted, within bounds, so that the connection can go
// on or end without a reset.
func (b *rest) finish() {
	_, _ = io.CopyN(io.Discard, b, unwanted) // Its end is noted by Read.
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.ended {
		b.ended = true
		close(b.done)
	}
}

const unwanted = 1 << 20 // bytes read only to keep a connection

// counted fails when a body turns out to be longer than allowed.
type counted struct {
	r    io.Reader
	left int64
}

func (c *counted) Read(p []byte) (int, error) {
	n, err := c.r.Read(p)
	c.left -= int64(n)
	if c.left < 0 {
		return n, errBody
	}
	return n, err
}

// body reads a short body whole. What follows the first part of a long one is
// returned and read while the request runs.
func (c *conn) body(hr *http.Request, r *Request, lim Limits) (*rest, bool) {
	if hr.ContentLength == 0 {
		return nil, true
	}
	c.readBy(slowReader)
	in := &counted{r: hr.Body, left: lim.Body}
	first, err := io.ReadAll(io.LimitReader(in, wholeBody))
	if err != nil {
		return nil, false
	}
	r.Body = first
	if len(first) < wholeBody || int64(len(first)) == hr.ContentLength {
		r.Length = int64(len(first))
		c.readBy(0)
		return nil, true
	}
	b := &rest{r: in, done: make(chan struct{})}
	r.Stream = b
	return b, true
}
