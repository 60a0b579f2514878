// Package berylmesh carries requests between instances over persistent connections.
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
	"berylspan/core/berylheadernames"
	"berylspan/io/berylbody"
	"berylspan/io/berylmemory"
	"berylspan/io/berylpanic"
	"berylspan/io/berylreply"
	"berylspan/io/berylrequest"
	"berylspan/io/berylsocket"
)

// Mesh sends requests to other instances and keeps idle connections to them for reuse.
// It is safe for concurrent use.
type Mesh struct {
	names  berylheadernames.Names
	dialer *net.Dialer
	guard  func(part string, f func()) bool

	memory     *berylmemory.Memory // nil for no limit
	onNoMemory func()

	mu   sync.Mutex
	idle map[string][]*conn // by address, most recently used last
}

const (
	dialTimeout        = 400 * time.Millisecond
	tcpUserTimeout     = 1500 * time.Millisecond // unacknowledged data breaks the connection after this time; see ackWatch
	idleTimeout        = 10 * time.Second        // idle connections are closed after this time
	maxIdlePerInstance = 64                      // idle connections
	maxWholeBody       = 64 << 10                // bytes; longer bodies are sent in chunks
	chunkSize          = 16 << 10                // bytes
	writeTimeout       = 30 * time.Second        // for a peer that reads slowly
	socketBytes        = 256 << 10               // received and not yet read, that the kernel holds at most for a connection
)

// Guard sets the function that runs the handling of one connection from another instance
// and reports whether it returned without a panic. After a panic the connection is closed.
func Guard(run func(part string, f func()) bool) func(*Mesh) { return func(m *Mesh) { m.guard = run } }

// Memory sets what requests from other instances are charged to. A request that may not be held
// is refused and reported to onRefused.
func Memory(memory *berylmemory.Memory, onRefused func()) func(*Mesh) {
	return func(m *Mesh) { m.memory, m.onNoMemory = memory, onRefused }
}

// New returns a mesh without connections. names holds the names of the headers that it
// handles itself.
func New(names berylheadernames.Names, opts ...func(*Mesh)) *Mesh {
	m := &Mesh{names: names, idle: map[string][]*conn{}, guard: berylpanic.Unguarded, dialer: &net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: SetSocketOptions}}
	for _, opt := range opts {
		opt(m)
	}
	return m
}

// SetSocketOptions sets the options of a connection between instances. It is a Control function for
// net.Dialer and net.ListenConfig.
func SetSocketOptions(network, address string, raw syscall.RawConn) error {
	if err := berylsocket.SetReadBuffer(socketBytes)(network, address, raw); err != nil {
		return err
	}
	return SetTCPUserTimeout(network, address, raw)
}

// get returns an idle connection that the peer has not closed, or dials a new one.
func (m *Mesh) get(ctx context.Context, addr string) (*conn, error) {
	now := time.Now()
	for {
		m.mu.Lock()
		list := m.idle[addr]
		if len(list) == 0 {
			m.mu.Unlock()
			break
		}
		c := list[len(list)-1]
		m.idle[addr] = list[:len(list)-1]
		m.mu.Unlock()
		if now.Sub(c.idleSince) < idleTimeout && c.br.Buffered() == 0 && berylsocket.Peek(c.nc) == berylsocket.Empty {
			return c, nil
		}
		c.close()
	}
	nc, err := m.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return newConn(nc), nil
}

// put returns a connection to the idle list and closes the oldest ones if there are too
// many or they have been idle for too long.
func (m *Mesh) put(addr string, c *conn) {
	c.idleSince = time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	list := m.idle[addr]
	for len(list) > 0 && (len(list) >= maxIdlePerInstance || c.idleSince.Sub(list[0].idleSince) > idleTimeout) {
		list[0].close()
		list = list[1:]
	}
	m.idle[addr] = append(list, c)
}

// EvictIdle closes connections that have been idle for longer than idleTimeout.
func (m *Mesh) EvictIdle() {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	for addr, list := range m.idle {
		for len(list) > 0 && now.Sub(list[0].idleSince) > idleTimeout {
			list[0].close()
			list = list[1:]
		}
		if m.idle[addr] = list; len(list) == 0 {
			delete(m.idle, addr)
		}
	}
}

// closeIdle closes the idle connections to an instance after one of its connections
// failed: the others may have gone silent too.
func (m *Mesh) closeIdle(addr string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range m.idle[addr] {
		c.close()
	}
	delete(m.idle, addr)
}

// Close closes all idle connections.
func (m *Mesh) Close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for addr, list := range m.idle {
		for _, c := range list {
			c.close()
		}
		delete(m.idle, addr)
	}
}

// Send sends a request to the instance at addr and waits for the head of the reply, or
// for the whole reply if that is not streamed.
func (m *Mesh) Send(ctx context.Context, addr string, req *berylrequest.Request) *berylreply.Reply {
	c, err := m.get(ctx, addr)
	if err != nil {
		m.closeIdle(addr)
		return berylreply.NewFailure(berylattempt.Unsent, berylreply.ReasonNoConnection)
	}
	stop := context.AfterFunc(ctx, c.close)
	if mayBeRead, err := m.writeRequest(c, req); err != nil {
		stop()
		c.close()
		m.closeIdle(addr)
		if mayBeRead {
			return berylreply.NewFailure(berylattempt.Unknown, failureReason(ctx))
		}
		return berylreply.NewFailure(berylattempt.Unsent, berylreply.ReasonNoConnection)
	}
	m.writeBody(c, req)
	reply, err := m.readReply(c, req.ID)
	if err != nil {
		stop()
		c.close()
		if ctx.Err() == nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			m.closeIdle(addr)
		}
		return berylreply.NewFailure(berylattempt.Unknown, failureReason(ctx))
	}
	// An instance closes the connection after a reply to a request whose body it did not read.
	// The sender might use it again before it notices that.
	reusable := req.Stream == nil
	if reply.Stream != nil {
		reply.Stream = berylbody.New(reply.Stream, func(complete bool) {
			if stop() && complete && reusable {
				m.put(addr, c)
				return
			}
			c.close()
		})
		return reply
	}
	if stop() && reusable {
		m.put(addr, c)
	} else {
		c.close()
	}
	return reply
}

// writeBody starts to send the rest of a streamed body. The reply may come earlier, for example
// if the instance refuses the request.
func (m *Mesh) writeBody(c *conn, req *berylrequest.Request) {
	if req.Stream == nil {
		return
	}
	stream := req.Stream // The sender may set another one for a later attempt.
	go func() {          // Ends at the latest when the connection is closed and the stream has ended.
		err := berylpanic.ErrPanic
		m.guard("request body", func() { err = c.writeChunks(stream) })
		var source sourceError
		if errors.As(err, &source) || errors.Is(err, berylpanic.ErrPanic) {
			c.close() // The instance must not take the incomplete body for a complete one.
		}
	}()
}

func failureReason(ctx context.Context) string {
	if ctx.Err() != nil {
		return berylreply.ReasonCanceled
	}
	return berylreply.ReasonConnectionBroken
}
