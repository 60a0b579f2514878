// Package berylmesh carries requests between instances over connections that are
// kept open.
package berylmesh

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"berylspan/core/berylattempt"
	"berylspan/core/berylnames"
	"berylspan/io/berylbody"
	"berylspan/io/berylprobe"
	"berylspan/io/berylreply"
	"berylspan/io/berylrequest"

	"golang.org/x/sys/unix"
)

// Mesh sends work to other instances. It is safe for concurrent use.
type Mesh struct {
	names  berylnames.Names
	dialer *net.Dialer

	mu   sync.Mutex
	idle map[string][]*lane // by address, the last used last
}

const (
	dialTimeout = 400 * time.Millisecond
	unackedMost = 1500 * time.Millisecond // until a connection whose bytes are not acknowledged is given up
	laneIdle    = 10 * time.Second        // a lane without requests is closed
	mostIdle    = 64                      // lanes to one instance
	wholeBody   = 64 << 10                // bytes; longer bodies are streamed
	chunkSize   = 16 << 10                // bytes
	slowReader  = 30 * time.Second
)

// New returns a mesh.
func New(names berylnames.Names) *Mesh {
	return &Mesh{names: names, idle: map[string][]*lane{}, dialer: &net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: Unacked}}
}

// Unacked makes a socket fail when its bytes are not acknowledged for long.
func Unacked(_, _ string, c syscall.RawConn) error {
	var err error
	if e := c.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedMost.Milliseconds()))
	}); e != nil {
		return e
	}
	return err
}

func (m *Mesh) get(ctx context.Context, addr string) (*lane, error) {
	now := time.Now()
	for {
		m.mu.Lock()
		list := m.idle[addr]
		if len(list) == 0 {
			m.mu.Unlock()
			break
		}
		l := list[len(list)-1]
		m.idle[addr] = list[:len(list)-1]
		m.mu.Unlock()
		if now.Sub(l.since) < laneIdle && l.br.Buffered() == 0 && berylprobe.Peek(l.nc) == berylprobe.Empty {
			return l, nil
		}
		l.close()
	}
	nc, err := m.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return newLane(nc), nil
}

func (m *Mesh) put(addr string, l *lane) {
	l.since = time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	list := m.idle[addr]
	for len(list) > 0 && (len(list) >= mostIdle || l.since.Sub(list[0].since) > laneIdle) {
		list[0].close()
		list = list[1:]
	}
	m.idle[addr] = append(list, l)
}

// Tidy closes lanes that were idle for long.
func (m *Mesh) Tidy() {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	for addr, list := range m.idle {
		for len(list) > 0 && now.Sub(list[0].since) > laneIdle {
			list[0].close()
			list = list[1:]
		}
		if m.idle[addr] = list; len(list) == 0 {
			delete(m.idle, addr)
		}
	}
}

// drop closes the idle lanes to an instance, which may have gone silent like the
// one that failed.
func (m *Mesh) drop(addr string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.idle[addr] {
		l.close()
	}
	delete(m.idle, addr)
}

// Close ends idle lanes.
func (m *Mesh) Close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for addr, list := range m.idle {
		for _, l := range list {
			l.close()
		}
		delete(m.idle, addr)
	}
}

// Send sends the work to the instance at addr.
func (m *Mesh) Send(ctx context.Context, addr string, w *berylrequest.Request) *berylreply.Reply {
	l, err := m.get(ctx, addr)
	if err != nil {
		m.drop(addr)
		return berylreply.NewFailure(berylattempt.Unsent, berylreply.ReasonNoConnection)
	}
	stop := context.AfterFunc(ctx, l.close)
	if err := m.ask(l, w); err != nil {
		stop()
		l.close()
		m.drop(addr)
		// An instance runs nothing before it has the whole message.
		return berylreply.NewFailure(berylattempt.Unsent, berylreply.ReasonNoConnection)
	}
	if w.Stream != nil {
		if err := l.stream(w.Stream); err != nil {
			stop()
			l.close()
			return berylreply.NewFailure(berylattempt.Unknown, broken(ctx))
		}
	}
	out, err := m.reply(l, w.ID)
	if err != nil {
		stop()
		l.close()
		if ctx.Err() == nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			m.drop(addr)
		}
		return berylreply.NewFailure(berylattempt.Unknown, broken(ctx))
	}
	if out.Stream != nil {
		out.Stream = berylbody.New(out.Stream, func(whole bool) {
			if stop() && whole {
				m.put(addr, l)
				return
			}
			l.close()
		})
		return out
	}
	if stop() {
		m.put(addr, l)
	}
	return out
}

func broken(ctx context.Context) string {
	if ctx.Err() != nil {
		return berylreply.ReasonCanceled
	}
	return berylreply.ReasonConnectionBroken
}
