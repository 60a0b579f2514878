// Package beryltimelimit ends a request at its deadline, and later only if the answer stalls.
package beryltimelimit

import (
	"context"
	"io"
	"time"
)

// Limit cancels the context of a request at its deadline. A streamed answer that has begun may
// go on after that as long as its source delivers, since an answer may have to wait for earlier
// ones on the connection of its caller.
type Limit struct {
	deadline time.Time
	cancel   context.CancelCauseFunc
	timer    *time.Timer
}

const (
	sourceTimeout = time.Second      // for a read after the deadline
	maxOverrun    = 30 * time.Second // after the deadline, for an answer that is not read
)

// New returns a context that is cancelled at deadline, with context.DeadlineExceeded as cause.
// Cancel must be called when the request has ended.
func New(parent context.Context, deadline time.Time) (context.Context, *Limit) {
	ctx, cancel := context.WithCancelCause(parent)
	l := &Limit{deadline: deadline, cancel: cancel}
	left := time.Until(deadline)
	if left <= 0 {
		l.expire() // before ctx is used
	}
	l.timer = time.AfterFunc(left, l.expire)
	return ctx, l
}

func (l *Limit) expire() { l.cancel(context.DeadlineExceeded) }

// Cancel cancels the context.
func (l *Limit) Cancel() {
	l.timer.Stop()
	l.cancel(nil)
}

// Stream returns the rest of an answer that has begun. From now on the context is cancelled if
// a read gets nothing until the deadline, or for 1 s if that ends later, and 30 s after the
// deadline in any case.
func (l *Limit) Stream(body io.ReadCloser) io.ReadCloser {
	l.timer.Reset(time.Until(l.deadline) + maxOverrun)
	return &stream{ReadCloser: body, limit: l}
}

type stream struct {
	io.ReadCloser
	limit *Limit
}

// Read reads from the source. It fails once the context is cancelled, which ends the source.
func (s *stream) Read(p []byte) (int, error) {
	timer := time.AfterFunc(max(time.Until(s.limit.deadline), sourceTimeout), s.limit.expire)
	defer timer.Stop()
	return s.ReadCloser.Read(p)
}
