// Package berylbody provides the streamed rest of a long answer and reports on closing
// whether it was read to its end.
package berylbody

import (
	"errors"
	"io"
)

// Body is a response body that reports whether it was read to its end. It is not safe
// for concurrent use.
type Body struct {
	r        io.Reader
	onClose  func(complete bool)
	complete bool
	closed   bool
}

// New returns a body that reads from r and calls onClose when it is first closed.
func New(r io.Reader, onClose func(complete bool)) *Body { return &Body{r: r, onClose: onClose} }

// Read reads from the underlying reader and records whether that has ended.
func (b *Body) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	b.complete = b.complete || errors.Is(err, io.EOF)
	return n, err
}

// Close calls onClose, unless it was closed before. It always returns nil.
func (b *Body) Close() error {
	if !b.closed {
		b.closed = true
		b.onClose(b.complete)
	}
	return nil
}
