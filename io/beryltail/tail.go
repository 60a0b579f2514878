// Package beryltail passes on the rest of a long answer and says at its end
// whether it was read whole.
package beryltail

import (
	"errors"
	"io"
)

// Tail is not safe for concurrent use.
type Tail struct {
	r      io.Reader
	end    func(whole bool)
	whole  bool
	closed bool
}

// New returns a tail that reads from r and calls end once, when it is closed.
func New(r io.Reader, end func(whole bool)) *Tail { return &Tail{r: r, end: end} }

// Read passes on the answer and notes its end.
func (t *Tail) Read(p []byte) (int, error) {
	n, err := t.r.Read(p)
	t.whole = t.whole || errors.Is(err, io.EOF)
	return n, err
}

// Close ends the answer; it never fails.
func (t *Tail) Close() error {
	if !t.closed {
		t.closed = true
		t.end(t.whole)
	}
	return nil
}
