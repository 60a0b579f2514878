// Package berylface serves callers over HTTP/1.1.
//
// It exists beside net/http's server because that one runs the requests of a
// connection one after the other, and does not notice that a caller has left
// while more of its bytes wait to be read. Here requests that were sent without
// waiting for answers run at once; answers keep their order.
package berylface

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	Header   int // bytes
	Body     int64
	HeadTime time.Duration
	IdleTime time.Duration
}

// Face serves one listener. Handle is called for each request, on a goroutine of
// its own; its context ends when the caller has left. Alone tells whether a
// request must not run before all answers ahead of it are written.
type Face struct {
	Handle func(ctx context.Context, r *Request) *Answer
	Alone  func(r *Request) bool
	Limits func() Limits

	ln      net.Listener
	writers sync.Pool
	mu      sync.Mutex
	conns   map[*conn]struct{}
	leaving bool
	wg      sync.WaitGroup
}

// New returns a face that serves ln once Run is called.
func New(ln net.Listener, handle func(context.Context, *Request) *Answer, alone func(*Request) bool, limits func() Limits) *Face {
	return &Face{Handle: handle, Alone: alone, Limits: limits, ln: ln, conns: map[*conn]struct{}{}}
}

// writer returns a buffered writer to w.
func (f *Face) writer(w io.Writer) *bufio.Writer {
	if bw, ok := f.writers.Get().(*bufio.Writer); ok {
		bw.Reset(w)
		return bw
	}
	return bufio.NewWriterSize(w, writeBuffer)
}

const acceptPause = 5 * time.Millisecond // after a failed accept, such as too many open files

// Run accepts connections until the listener is closed.
func (f *Face) Run(ctx context.Context) {
	for {
		nc, err := f.ln.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
				return
			}
			time.Sleep(acceptPause)
			continue
		}
		c := newConn(f, nc)
		f.mu.Lock()
		f.conns[c] = struct{}{}
		leaving := f.leaving
		f.mu.Unlock()
		if leaving {
			c.leave()
		}
		f.wg.Go(func() {
			c.serve(ctx)
			f.mu.Lock()
			delete(f.conns, c)
			f.mu.Unlock()
		})
	}
}

// Leave makes every connection end with the answer after which it has no request.
func (f *Face) Leave() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leaving = true
	for c := range f.conns {
		c.leave()
	}
}

// Drain stops accepting connections and reading requests, and waits for at most
// d until every request that was read is answered and its connection closed.
func (f *Face) Drain(d time.Duration) {
	_ = f.ln.Close() // Only fails when closed before.
	for end := time.Now().Add(d); time.Now().Before(end) && f.open() > 0; time.Sleep(drainCheck) {
		f.mu.Lock()
		f.leaving = true
		for c := range f.conns {
			c.leave()
			c.stop()
		}
		f.mu.Unlock()
	}
}

const drainCheck = 10 * time.Millisecond

func (f *Face) open() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.conns)
}

// Close stops accepting, cuts every connection and waits for their ends.
func (f *Face) Close() {
	_ = f.ln.Close() // Only fails when closed before.
	f.mu.Lock()
	for c := range f.conns {
		_ = c.nc.Close() // The peer may have closed it first.
	}
	f.mu.Unlock()
	f.wg.Wait()
}

// Busy returns the number of requests without a written answer.
func (f *Face) Busy() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for c := range f.conns {
		n += c.busy()
	}
	return n
}
