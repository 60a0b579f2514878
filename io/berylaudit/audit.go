// Package berylaudit writes log lines without ever holding up who logs.
package berylaudit

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

// Audit is a bounded writer: lines are collected and written by one goroutine.
// When the reader is slow or lines come faster than the bound, lines are dropped
// and counted. It is safe for concurrent use.
type Audit struct {
	out  io.Writer
	wake chan struct{}
	done chan struct{}

	mu      sync.Mutex
	buf     bytes.Buffer
	tokens  float64
	filled  time.Time
	dropped int
	closed  bool
}

const (
	mostBuffered = 256 << 10 // bytes that wait for a slow reader
	linesPerSec  = 400       // sustained lines; keeps a busy daemon's log under 10 MB a minute
	lineBurst    = 2000
	gather       = 250 * time.Millisecond // lines written at once
)

// New returns an audit that writes to out until Close.
func New(out io.Writer) *Audit {
	a := &Audit{out: out, wake: make(chan struct{}, 1), done: make(chan struct{}), tokens: lineBurst, filled: time.Now()}
	go a.run()
	return a
}

// Write keeps one line. It never blocks and never fails.
func (a *Audit) Write(line []byte) (int, error) {
	now := time.Now()
	a.mu.Lock()
	a.tokens = min(lineBurst, a.tokens+linesPerSec*now.Sub(a.filled).Seconds())
	a.filled = now
	if a.closed || a.tokens < 1 || a.buf.Len()+len(line) > mostBuffered {
		a.dropped++
		a.mu.Unlock()
		return len(line), nil
	}
	a.tokens--
	first := a.buf.Len() == 0
	a.buf.Write(line)
	a.mu.Unlock()
	if first {
		a.signal()
	}
	return len(line), nil
}

func (a *Audit) signal() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

func (a *Audit) run() {
	defer close(a.done)
	for range a.wake {
		a.mu.Lock()
		closed := a.closed
		a.mu.Unlock()
		if !closed {
			time.Sleep(gather)
		}
		a.flush()
		if closed {
			return
		}
	}
}

func (a *Audit) flush() {
	a.mu.Lock()
	data := append([]byte(nil), a.buf.Bytes()...)
	a.buf.Reset()
	n := a.dropped
	a.dropped = 0
	a.mu.Unlock()
	if n > 0 {
		data = append(data, fmt.Sprintf("{\"level\":\"warn\",\"dropped\":%d,\"message\":\"log lines dropped\"}\n", n)...)
	}
	if len(data) > 0 {
		// There is nowhere to report that standard output is gone.
		_, _ = a.out.Write(data)
	}
}

// Close writes what is left and ends.
func (a *Audit) Close() {
	a.mu.Lock()
	a.closed = true
	a.mu.Unlock()
	a.signal()
	<-a.done
}
