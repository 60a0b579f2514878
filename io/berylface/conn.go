package berylface

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"berylspan/io/berylprobe"
)

const (
	readBuffer  = 1 << 10  // bytes; most heads fit
	writeBuffer = 4 << 10  // bytes
	mostWaiting = 64       // requests read ahead on one connection
	wholeBody   = 64 << 10 // bytes; longer bodies are streamed
	slowReader  = 30 * time.Second
	lingerTime  = 500 * time.Millisecond // for reading the rest of a body that nobody wants
)

// conn is one caller's connection.
type conn struct {
	face *Face
	nc   net.Conn
	in   *limited
	br   *bufio.Reader
	bw   *bufio.Writer // only while something is written

	mu      sync.Mutex
	pending int // requests read whose answers are not written
	last    bool
	stopped bool
	ended   bool
	wg      sync.WaitGroup
}

// limited bounds how many bytes are read for a head.
type limited struct {
	r    io.Reader
	left int
}

var errHead = errors.New("the head of the request is too long") //nolint:gochecknoglobals // A sentinel.

func (l *limited) Read(p []byte) (int, error) {
	if l.left <= 0 {
		return 0, errHead
	}
	if len(p) > l.left {
		p = p[:l.left]
	}
	n, err := l.r.Read(p)
	l.left -= n
	return n, err
}

const unlimited = int(^uint(0) >> 1)

func newConn(f *Face, nc net.Conn) *conn {
	c := &conn{face: f, nc: nc, in: &limited{r: nc, left: unlimited}}
	c.br = bufio.NewReaderSize(c.in, readBuffer)
	return c
}

func (c *conn) busy() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending
}

func (c *conn) leave() {
	c.mu.Lock()
	c.last = true
	c.mu.Unlock()
}

// stop makes the connection read no more requests. What was read is answered.
func (c *conn) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopped {
		return
	}
	c.stopped = true
	_ = c.nc.SetReadDeadline(time.Now()) // Wakes the reader; it fails only when closed.
}

// idle bounds the time without a request.
func (c *conn) idle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending == 0 && !c.stopped {
		_ = c.nc.SetReadDeadline(time.Now().Add(c.face.Limits().IdleTime))
	}
}

// serve reads requests until the connection ends.
func (c *conn) serve(parent context.Context) {
	ctx, cancel := context.WithCancel(parent)
	turn := make(chan struct{})
	close(turn)
	for {
		c.idle()
		if _, err := c.br.Peek(1); err != nil || c.halted() {
			if c.halted() {
				<-turn // The caller may still be there for its answers.
			}
			break
		}
		lim := c.face.Limits()
		next, ok := c.read(ctx, lim, turn)
		turn = next
		if !ok {
			// An answer that ends the connection is still to be written; until
			// then the caller may leave.
			if _, err := c.br.Peek(1); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) && !c.over() {
				cancel()
			}
			<-turn
			break
		}
		if !c.room() {
			break
		}
	}
	cancel()
	c.wg.Wait()
	_ = c.nc.Close() // The peer may have closed it first.
}

// room waits until fewer requests than may be read ahead are pending.
func (c *conn) room() bool {
	for c.busy() >= mostWaiting {
		time.Sleep(time.Millisecond)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.ended
}

// read reads one request and starts it. It returns the channel that closes when
// its answer is written, and whether more requests may follow.
func (c *conn) read(ctx context.Context, lim Limits, turn chan struct{}) (chan struct{}, bool) {
	done := make(chan struct{})
	c.readBy(lim.HeadTime)
	c.in.left = lim.Header
	hr, err := http.ReadRequest(c.br)
	c.in.left = unlimited
	if err != nil {
		status := refusal(err)
		c.begin()
		if status == 0 {
			c.abort()
			close(done)
			return done, false
		}
		c.wg.Go(func() { c.reply(ctx, done, turn, &Answer{Status: status, Close: true}, false) })
		return done, false
	}
	c.readBy(0)
	r := &Request{Method: hr.Method, URI: hr.RequestURI, Path: hr.URL.EscapedPath(), Host: hr.Host, Header: hr.Header, Length: hr.ContentLength, At: time.Now()}
	r.Gone = func() bool { return berylprobe.Look(c.nc) == berylprobe.Closed }
	c.begin()
	final := hr.Close || !hr.ProtoAtLeast(1, 1)
	if hr.ContentLength > lim.Body {
		c.wg.Go(func() {
			c.reply(ctx, done, turn, &Answer{Status: http.StatusRequestEntityTooLarge, Close: true}, false)
		})
		return done, false
	}
	if hr.ContentLength != 0 && strings.EqualFold(hr.Header.Get("Expect"), "100-continue") {
		<-turn
		// A broken connection shows when the body is read.
		_, _ = c.nc.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
	rest, ok := c.body(hr, r, lim)
	if !ok {
		c.abort()
		close(done)
		return done, false
	}
	c.wg.Go(func() {
		if c.face.Alone(r) {
			<-turn
			if c.over() {
				c.abort()
				close(done)
				return
			}
		}
		c.reply(ctx, done, turn, c.face.Handle(ctx, r), final)
		if rest != nil {
			rest.finish()
		}
	})
	if rest != nil {
		// The next head follows the body.
		<-rest.done
		return done, !final && rest.whole
	}
	return done, !final
}

func refusal(err error) int {
	switch {
	case errors.Is(err, errHead):
		return http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		return http.StatusRequestTimeout
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return 0
	}
	var ne net.Error
	if errors.As(err, &ne) {
		return 0
	}
	return http.StatusBadRequest
}

// readBy bounds the next reads, 0 without bound.
func (c *conn) readBy(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case d > 0:
		_ = c.nc.SetReadDeadline(time.Now().Add(d)) // Fails only when closed.
	case !c.stopped:
		_ = c.nc.SetReadDeadline(time.Time{}) // As above.
	}
}

func (c *conn) halted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stopped
}

func (c *conn) begin() {
	c.mu.Lock()
	c.pending++
	c.mu.Unlock()
}

// over tells whether an answer has ended the connection.
func (c *conn) over() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended
}

// abort ends the connection without an answer.
func (c *conn) abort() {
	c.mu.Lock()
	c.ended = true
	c.pending--
	c.mu.Unlock()
	_ = c.nc.Close() // The peer may have closed it first.
}

// reply waits for its turn and writes the answer.
func (c *conn) reply(ctx context.Context, done, turn chan struct{}, a *Answer, final bool) {
	defer close(done)
	<-turn
	if a.Stream != nil {
		defer func() { _ = a.Stream.Close() }() // Read to its end, or given up.
	}
	if a.Abort || c.over() || ctx.Err() != nil {
		c.abort()
		return
	}
	c.mu.Lock()
	end := final || a.Close || (c.last && c.pending == 1)
	if end {
		c.ended = true
	}
	c.mu.Unlock()
	_ = c.nc.SetWriteDeadline(time.Now().Add(slowReader))
	c.bw = c.face.writer(c.nc)
	err := c.write(a, end)
	c.face.writers.Put(c.bw)
	if err != nil {
		c.abort()
		return
	}
	c.mu.Lock()
	c.pending--
	c.mu.Unlock()
	if end {
		c.linger()
		return
	}
	c.idle()
}

// linger closes the connection so that the answer is not lost to a reset by
// bytes that were never read.
func (c *conn) linger() {
	if tc, ok := c.nc.(*net.TCPConn); ok {
		_ = tc.CloseWrite() // Close follows in any case.
	}
	_ = c.nc.SetReadDeadline(time.Now().Add(lingerTime))
}
