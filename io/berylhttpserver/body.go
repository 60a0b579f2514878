package berylhttpserver

import (
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
)

// bodyStream is the rest of a long request body, which is read while the request runs.
type bodyStream struct {
	mu       sync.Mutex
	r        io.Reader
	done     chan struct{} // closed when err is set
	err      error         // after which nothing more is read; io.EOF if all of the body was passed on
	complete bool          // whether the body was read to its end
}

var (
	errBodyTooLong   = errors.New("request body too long")                  //nolint:gochecknoglobals // A sentinel.
	errBodyDiscarded = errors.New("rest of the request body was discarded") //nolint:gochecknoglobals // A sentinel.
)

// Read reads from the body. After an error it returns the same error again: a body that broke off
// or was discarded must not be taken for a whole one.
func (b *bodyStream) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.r.Read(p)
	if err != nil {
		b.end(err)
	}
	return n, err
}

// end records that nothing more is read after err, which a later Read returns as well. The caller
// holds the lock.
func (b *bodyStream) end(err error) {
	b.err, b.complete = err, errors.Is(err, io.EOF)
	close(b.done)
}

// discardUnread discards up to maxDiscardedBody bytes that the request did not read, so
// that the connection can be reused, or be closed without a reset.
func (b *bodyStream) discardUnread() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err != nil {
		return
	}
	_, err := io.CopyN(io.Discard, b.r, maxDiscardedBody)
	b.end(err)
	b.err = errBodyDiscarded
}

const maxDiscardedBody = 1 << 20 // bytes

// maxBytesReader fails if the body is longer than allowed.
type maxBytesReader struct {
	r         io.Reader
	remaining int64
}

func (r *maxBytesReader) Read(p []byte) (int, error) {
	n, err := r.r.Read(p)
	r.remaining -= int64(n)
	if r.remaining < 0 {
		return n, errBodyTooLong
	}
	return n, err
}

// readBody reads up to maxBufferedBody bytes of the body into r. If the body is longer, it
// sets r.Stream to the rest and returns that, to be read while the request runs. It
// returns an error if the body could not be read.
func (c *conn) readBody(httpReq *http.Request, p *pendingRequest, r *Request, limits Limits) (*bodyStream, error) {
	if httpReq.ContentLength == 0 {
		return nil, nil
	}
	if !c.beginBody() {
		return nil, os.ErrDeadlineExceeded
	}
	defer c.endBody()
	bounded := &maxBytesReader{r: httpReq.Body, remaining: limits.MaxBodyBytes}
	c.meter.part = partBody
	first, err := io.ReadAll(io.LimitReader(bounded, maxBufferedBody))
	c.meter.endBody(p, int64(cap(first)))
	if err != nil {
		return nil, err
	}
	r.Body = first
	if len(first) < maxBufferedBody || int64(len(first)) == httpReq.ContentLength {
		r.Length = int64(len(first))
		return nil, nil
	}
	stream := &bodyStream{r: bounded, done: make(chan struct{})}
	r.Stream = stream
	return stream, nil
}
