package beryltimelimit

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

const deadline = 6 * time.Second

func TestContextOfRequest(t *testing.T) {
	for _, c := range []struct {
		name  string
		use   func(limit *Limit, body io.ReadCloser, w *io.PipeWriter)
		ended time.Duration // when the context ends
		cause error
	}{
		{"not answered: ends at the deadline", func(*Limit, io.ReadCloser, *io.PipeWriter) {}, deadline, context.DeadlineExceeded},
		{"cancelled: ends at once", func(l *Limit, _ io.ReadCloser, _ *io.PipeWriter) { l.Cancel() }, 0, context.Canceled},
		{"answer that is not read: ends long after the deadline", func(l *Limit, body io.ReadCloser, _ *io.PipeWriter) { l.Stream(body) }, deadline + maxOverrun, context.DeadlineExceeded},
		{"read whose source sends nothing: ends at the deadline", func(l *Limit, body io.ReadCloser, _ *io.PipeWriter) {
			go func() { _, _ = l.Stream(body).Read(make([]byte, 1)) }()
		}, deadline, context.DeadlineExceeded},
		{"late read whose source sends nothing: ends a second later", func(l *Limit, body io.ReadCloser, _ *io.PipeWriter) {
			stream := l.Stream(body)
			time.AfterFunc(2*deadline, func() { _, _ = stream.Read(make([]byte, 1)) })
		}, 2*deadline + sourceTimeout, context.DeadlineExceeded},
		{"late read whose source sends: goes on", func(l *Limit, body io.ReadCloser, w *io.PipeWriter) {
			stream := l.Stream(body)
			time.AfterFunc(2*deadline, func() {
				go func() { _, _ = w.Write([]byte("xy")) }()
				_, _ = stream.Read(make([]byte, 1))
				_, _ = stream.Read(make([]byte, 1))
				time.AfterFunc(deadline, l.Cancel)
			})
		}, 3 * deadline, context.Canceled},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				body, w := io.Pipe()
				defer func() { _ = w.Close() }()
				ctx, limit := New(t.Context(), start.Add(deadline))
				defer limit.Cancel()
				c.use(limit, body, w)
				<-ctx.Done()
				require.Equal(t, c.ended, time.Since(start))
				require.ErrorIs(t, context.Cause(ctx), c.cause)
			})
		})
	}
}

func TestContextEndsAtOnceWithPassedDeadline(t *testing.T) {
	ctx, limit := New(t.Context(), time.Now().Add(-time.Second))
	defer limit.Cancel()
	require.ErrorIs(t, context.Cause(ctx), context.DeadlineExceeded)
}

func TestContextEndsWithThatOfCallerWhileAnswerIsRead(t *testing.T) {
	parent, leave := context.WithCancel(t.Context())
	ctx, limit := New(parent, time.Now().Add(deadline))
	defer limit.Cancel()
	limit.Stream(io.NopCloser(nil))
	leave()
	<-ctx.Done()
	require.NoError(t, t.Context().Err())
}
