// Package berylfaultlink puts delays and faults between two ends of a
// connection in tests and the demo.
package berylfaultlink

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"berylspan/io/beryltransport"

	"github.com/rotisserie/eris"
)

// Link is a way between two places. Connections opened by its Dial carry bytes
// with a delay; the faults act on open and on new ones. It is safe for
// concurrent use.
type Link struct {
	delay  time.Duration
	breaks func() (up, down int)
	cut    atomic.Bool
	mu     sync.Mutex
	conns  map[*conn]bool
	pumps  sync.WaitGroup
}

// New returns a link that delays bytes by delay each way.
func New(delay time.Duration, opts ...func(*Link)) *Link {
	l := &Link{delay: delay, conns: map[*conn]bool{}, breaks: func() (int, int) { return 0, 0 }}
	for _, o := range opts {
		o(l)
	}
	return l
}

// Breaks sets after how many bytes each way a new connection breaks; 0 is never.
func Breaks(f func() (up, down int)) func(*Link) { return func(l *Link) { l.breaks = f } }

// Cut makes bytes and new connections vanish, or ends that.
func (l *Link) Cut(cut bool) { l.cut.Store(cut) }

// Silence makes the connections open now lose every byte for good, while new
// ones work.
func (l *Link) Silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.silent.Store(true)
	}
}

// Dial opens connections over the link by way of dial.
func (l *Link) Dial(dial beryltransport.Dial) beryltransport.Dial {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		if l.cut.Load() {
			<-ctx.Done()
			return nil, eris.Wrap(ctx.Err(), "link is cut")
		}
		inner, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return l.wrap(inner), nil
	}
}

type conn struct {
	net.Conn
	link   *Link
	silent atomic.Bool
	up     int // bytes to send before it breaks, 0 never
	down   int // bytes to receive before it breaks, 0 never
	out    chan piece
	in     *io.PipeReader
	once   sync.Once
	done   chan struct{}
}

type piece struct {
	data []byte
	at   time.Time
}

const (
	queueLen = 4096
	readSize = 16 << 10
)

func (l *Link) wrap(inner net.Conn) net.Conn {
	r, w := io.Pipe()
	c := &conn{Conn: inner, link: l, out: make(chan piece, queueLen), in: r, done: make(chan struct{})}
	c.up, c.down = l.breaks()
	arrived := make(chan piece, queueLen)
	l.mu.Lock()
	l.conns[c] = true
	l.mu.Unlock()
	l.pumps.Go(c.send)
	l.pumps.Go(func() { c.receive(arrived) })
	l.pumps.Go(func() { c.deliver(arrived, w) })
	return c
}

// send writes what was queued once its time has come.
func (c *conn) send() {
	for {
		select {
		case p := <-c.out:
			time.Sleep(time.Until(p.at))
			if c.lost() {
				continue
			}
			data, broken := part(p.data, &c.up)
			if _, err := c.Conn.Write(data); err != nil || broken {
				_ = c.Close()
				return
			}
		case <-c.done:
			return
		}
	}
}

// lost tells whether bytes vanish. A connection that lost some carries no more:
// what came after the gap would not make sense.
func (c *conn) lost() bool {
	if c.link.cut.Load() {
		c.silent.Store(true)
	}
	return c.silent.Load()
}

func (c *conn) receive(arrived chan<- piece) {
	defer close(arrived)
	for {
		buf := make([]byte, readSize)
		n, err := c.Conn.Read(buf)
		data, broken := part(buf[:n], &c.down)
		if len(data) > 0 && !c.lost() {
			select {
			case arrived <- piece{data: data, at: time.Now().Add(c.link.delay)}:
			case <-c.done:
				return
			}
		}
		if err != nil || broken {
			_ = c.Conn.Close()
			return
		}
	}
}

// part returns what of data may pass before the connection breaks.
func part(data []byte, left *int) ([]byte, bool) {
	if *left == 0 {
		return data, false
	}
	if len(data) >= *left {
		return data[:*left], true
	}
	*left -= len(data)
	return data, false
}

func (c *conn) deliver(arrived <-chan piece, w *io.PipeWriter) {
	defer func() { _ = w.Close() }()
	for p := range arrived {
		time.Sleep(time.Until(p.at))
		if _, err := w.Write(p.data); err != nil {
			return
		}
	}
}

// Write queues the bytes.
func (c *conn) Write(b []byte) (int, error) {
	p := piece{data: append([]byte(nil), b...), at: time.Now().Add(c.link.delay)}
	select {
	case c.out <- p:
		return len(b), nil
	case <-c.done:
		return 0, net.ErrClosed
	}
}

// Read returns bytes that have arrived.
func (c *conn) Read(b []byte) (int, error) { return c.in.Read(b) }

// SetReadDeadline does nothing; clients bound their waits by contexts.
func (c *conn) SetReadDeadline(time.Time) error { return nil }

// SetDeadline does nothing; clients bound their waits by contexts.
func (c *conn) SetDeadline(time.Time) error { return nil }

// Close ends both ways.
func (c *conn) Close() error {
	var err error
	c.once.Do(func() {
		close(c.done)
		err = c.Conn.Close()
		_ = c.in.Close()
		c.link.mu.Lock()
		delete(c.link.conns, c)
		c.link.mu.Unlock()
	})
	return err
}

// Proxy listens on a free address and carries what arrives over the link to
// target. It returns the address and a function that ends it.
func (l *Link) Proxy(target string) (string, func(), error) {
	ln, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, eris.Wrap(err, "proxy")
	}
	var all sync.WaitGroup
	ctx, cancel := context.WithCancel(context.Background())
	all.Go(func() {
		for {
			from, err := ln.Accept()
			if err != nil {
				return
			}
			all.Go(func() { l.carry(ctx, from, target) })
		}
	})
	return ln.Addr().String(), func() { cancel(); _ = ln.Close(); all.Wait() }, nil
}

// carry copies both ways until either end closes.
func (l *Link) carry(ctx context.Context, from net.Conn, target string) {
	stop := context.AfterFunc(ctx, func() { _ = from.Close() })
	defer stop()
	defer func() { _ = from.Close() }()
	to, err := l.Dial(beryltransport.NetDial())(ctx, "tcp", target)
	if err != nil {
		return
	}
	defer func() { _ = to.Close() }()
	var back sync.WaitGroup
	back.Go(func() {
		_, _ = io.Copy(from, to)
		_ = from.Close()
	})
	_, _ = io.Copy(to, from)
	_ = to.Close()
	back.Wait()
}
