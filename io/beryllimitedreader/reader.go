// Package beryllimitedreader limits how many bytes are read for the head of an HTTP
// message, whatever the other side sends.
package beryllimitedreader

import (
	"errors"
	"io"
)

// Reader reads from R and fails with ErrLimit when more than Remaining bytes were read. It
// is meant to be read through a bufio.Reader: what that has buffered does not count again.
type Reader struct {
	R         io.Reader
	Remaining int   // bytes
	Err       error // of the last read from R; a parser may have failed on the cut line instead
}

// Unlimited is the number of remaining bytes that sets no limit.
const Unlimited = int(^uint(0) >> 1)

// ErrLimit is returned when the limit is reached.
var ErrLimit = errors.New("head of the message exceeds its limit") //nolint:gochecknoglobals // A sentinel.

// Exceeded reports whether the limit was reached. A parser may have failed on the cut line
// before it saw ErrLimit.
func (r *Reader) Exceeded() bool { return r.Remaining <= 0 }

// Read implements io.Reader.
func (r *Reader) Read(p []byte) (int, error) {
	if r.Remaining <= 0 {
		return 0, ErrLimit
	}
	if len(p) > r.Remaining {
		p = p[:r.Remaining]
	}
	n, err := r.R.Read(p)
	r.Remaining -= n
	r.Err = err
	return n, err
}
