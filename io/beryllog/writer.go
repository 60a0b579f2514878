// Package beryllog writes log lines without ever blocking the code that logs them.
package beryllog

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

// Writer buffers lines, which one goroutine writes to the output. When the output is
// slow or lines exceed the rate limit, lines are dropped and counted. It is safe for
// concurrent use.
type Writer struct {
	out     io.Writer
	wake    chan struct{}
	closing chan struct{}
	done    chan struct{}

	mu         sync.Mutex
	buf        bytes.Buffer
	tokens     float64
	refilledAt time.Time
	dropped    int
	closed     bool
}

const (
	maxBuffered    = 256 << 10 // bytes that wait for a slow output
	linesPerSecond = 400       // sustained rate; keeps the log of a busy daemon under 10 MB per minute
	burstLines     = 2000
	flushInterval  = 250 * time.Millisecond // lines of this time are written together
	closeTimeout   = 300 * time.Millisecond // for an output that takes nothing
)

// New returns a writer to out. Close must be called to flush it.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, wake: make(chan struct{}, 1), closing: make(chan struct{}), done: make(chan struct{}), tokens: burstLines, refilledAt: time.Now()}
	go w.run()
	return w
}

// Write buffers or drops one line. It never waits for the output and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	now := time.Now()
	w.mu.Lock()
	w.tokens = min(burstLines, w.tokens+linesPerSecond*now.Sub(w.refilledAt).Seconds())
	w.refilledAt = now
	if w.closed || w.tokens < 1 || w.buf.Len()+len(line) > maxBuffered {
		w.dropped++
		w.mu.Unlock()
		return len(line), nil
	}
	w.tokens--
	first := w.buf.Len() == 0
	w.buf.Write(line)
	w.mu.Unlock()
	if first {
		w.signal()
	}
	return len(line), nil
}

func (w *Writer) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

func (w *Writer) run() {
	defer close(w.done)
	for {
		select {
		case <-w.wake:
		case <-w.closing:
			w.flush()
			return
		}
		select {
		case <-time.After(flushInterval):
		case <-w.closing:
		}
		w.flush()
	}
}

func (w *Writer) flush() {
	w.mu.Lock()
	data := append([]byte(nil), w.buf.Bytes()...)
	w.buf.Reset()
	dropped := w.dropped
	w.dropped = 0
	w.mu.Unlock()
	if dropped > 0 {
		data = append(data, fmt.Sprintf("{\"level\":\"warn\",\"dropped\":%d,\"message\":\"log lines dropped\"}\n", dropped)...)
	}
	if len(data) > 0 {
		// If standard output is gone there is nowhere to report it.
		_, _ = w.out.Write(data)
	}
}

// Close writes the buffered lines and stops the goroutine. It gives up when the output takes
// no more lines, so that the process ends although nothing reads its log.
// Later lines are dropped. Close must be called only once.
func (w *Writer) Close() {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	close(w.closing)
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}
