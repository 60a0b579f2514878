package berylserver

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"berylspan/core/berylconnectionlimit"
	"berylspan/core/berylmemorybudget"
	"berylspan/io/berylmemory"
)

// Limits bound what callers make the process hold. Refuse answers a request that was not handled
// because of a limit, with the status 431 or 503.
type Limits struct {
	Memory         *berylmemory.Memory
	Conns          berylconnectionlimit.Limit
	MaxHeaderLines int // of a request, 0 for no limit
	Refuse         func(w http.ResponseWriter, status int)
	OnLimited      func(kind string)
}

// Kinds of what is done about callers beyond a limit.
const (
	limitedHeaderLines = "header lines"
	limitedMemory      = "request refused"
	limitedHeaviest    = "connection closed"
	limitedUnread      = "answer not accepted"
	limitedIdle        = "idle connection closed"
	limitedNew         = "new connection refused"
)

const (
	transferTimeout = 30 * time.Second // for a caller that neither sends nor accepts bytes of a body
	deadlineStep    = time.Second      // between two settings of a deadline
	bodyByteCost    = 2                // of each byte of a request body: its buffer may grow by as much
)

var errMemory = errors.New("too much memory is held for callers") //nolint:gochecknoglobals // A sentinel.

// Limit sets the limits of a server. Without it, callers are not limited.
func Limit(l Limits) func(*Server) {
	return func(s *Server) { s.limits = &limiter{Limits: l, conns: map[net.Conn]connState{}} }
}

// limiter holds callers to the limits.
type limiter struct {
	Limits

	mu    sync.Mutex
	conns map[net.Conn]connState
}

type connState struct {
	since time.Time
	idle  bool // no request
}

// connChanged is called by net/http when a connection changes its state.
func (l *limiter) connChanged(nc net.Conn, state http.ConnState) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(l.conns, nc)
		return
	}
	l.conns[nc] = connState{since: now, idle: state != http.StateActive}
	if state == http.StateNew {
		l.makeRoom(nc, now)
	}
}

// makeRoom closes connections if there are too many. The caller holds the lock.
func (l *limiter) makeRoom(added net.Conn, now time.Time) {
	n := len(l.conns)
	if l.Conns.Soft == 0 || n < l.Conns.Soft {
		return
	}
	var conns []net.Conn
	var candidates []berylconnectionlimit.Conn
	for nc, state := range l.conns {
		if state.idle && nc != added {
			conns, candidates = append(conns, nc), append(candidates, berylconnectionlimit.Conn{Since: state.since})
		}
	}
	for _, i := range l.Conns.Choose(n, candidates, now) {
		l.close(conns[i], limitedIdle)
	}
	if !l.Conns.Accepts(n) {
		l.close(added, limitedNew)
	}
}

// close closes a connection without waiting for anything to be written. The caller holds the
// lock.
func (l *limiter) close(nc net.Conn, kind string) {
	l.conns[nc] = connState{since: time.Now()} // It is not chosen again.
	if secure, ok := nc.(*tls.Conn); ok {
		nc = secure.NetConn()
	}
	_ = nc.Close() // It may be closed already.
	l.OnLimited(kind)
}

// handler passes requests to h that may be held, and refuses the others.
func (l *limiter) handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		size, lines := headSize(r)
		if l.MaxHeaderLines > 0 && lines > l.MaxHeaderLines {
			l.OnLimited(limitedHeaderLines)
			l.Refuse(w, http.StatusRequestHeaderFieldsTooLarge)
			return
		}
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		held := &heldRequest{control: http.NewResponseController(w), cancel: cancel, onLimited: l.OnLimited}
		if r.ProtoMajor == 1 {
			_ = held.control.SetWriteDeadline(time.Time{}) // That of the previous request. Fails only if the connection is closed.
		}
		held.memory = l.Memory.Open(clientAddr(r.RemoteAddr), held.evict)
		defer held.end()
		if !held.memory.Charge(berylmemorybudget.RequestCost + berylmemorybudget.ExtraHeadCost(size, lines)) {
			l.OnLimited(limitedMemory)
			l.Refuse(w, http.StatusServiceUnavailable)
			return
		}
		r = r.WithContext(ctx)
		r.Body = &heldBody{ReadCloser: r.Body, held: held}
		h.ServeHTTP(&heldWriter{ResponseWriter: w, held: held}, r)
	})
}

// headSize returns the bytes and lines of the head of a request.
func headSize(r *http.Request) (size, lines int) {
	size = len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		lines += len(values)
		for _, v := range values {
			size += len(name) + len(v)
		}
	}
	return size, lines
}

func clientAddr(addr string) string {
	if host, _, err := net.SplitHostPort(addr); err == nil {
		return host
	}
	return addr
}

// heldRequest is a request that memory is held for.
type heldRequest struct {
	memory    *berylmemory.Holder
	control   *http.ResponseController
	cancel    func()
	onLimited func(kind string)
	stall     *time.Timer // runs while the caller accepts nothing; nil before the first write

	mu    sync.Mutex
	ended bool // control must no longer be used
}

// end releases the memory when the request was handled. net/http may still have to send the end of
// the answer.
func (h *heldRequest) end() {
	if h.stall != nil {
		h.stall.Stop()
	}
	h.mu.Lock()
	h.ended = true
	_ = h.control.SetWriteDeadline(time.Now().Add(transferTimeout)) // Fails only if the connection is closed.
	h.mu.Unlock()
	h.memory.Close()
}

// evict ends the request because it holds most memory.
func (h *heldRequest) evict() { h.abort(limitedHeaviest) }

// stalled ends the request because its caller accepts nothing.
func (h *heldRequest) stalled() { h.abort(limitedUnread) }

// abort ends the request, even if it waits for its caller.
func (h *heldRequest) abort(kind string) {
	h.cancel()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ended {
		return
	}
	// They fail only if the connection is closed.
	_ = h.control.SetReadDeadline(time.Now())
	_ = h.control.SetWriteDeadline(time.Now())
	h.onLimited(kind)
}

// heldBody charges a request body as it is read.
type heldBody struct {
	io.ReadCloser
	held      *heldRequest
	limitedAt time.Time
}

// Read fails if no more may be held.
func (b *heldBody) Read(p []byte) (int, error) {
	if now := time.Now(); now.Sub(b.limitedAt) >= deadlineStep {
		b.limitedAt = now
		_ = b.held.control.SetReadDeadline(now.Add(transferTimeout)) // Fails only if the connection is closed.
	}
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		// net/http reads on while the request is handled, to see whether the caller disconnects.
		_ = b.held.control.SetReadDeadline(time.Time{}) // As above.
	}
	if n > 0 && !b.held.memory.Charge(int64(n)*bodyByteCost) {
		b.held.onLimited(limitedMemory)
		return 0, errMemory
	}
	return n, err
}

// heldWriter charges what is written until the caller has accepted it, and limits how long that
// may take.
type heldWriter struct {
	http.ResponseWriter
	held *heldRequest
}

// Write fails if the caller accepts nothing for transferTimeout. A write deadline would end an
// HTTP/2 stream also while there is nothing to be written.
func (w *heldWriter) Write(p []byte) (int, error) {
	h := w.held
	if h.stall == nil {
		h.stall = time.AfterFunc(transferTimeout, h.stalled)
	} else {
		h.stall.Reset(transferTimeout)
	}
	defer h.stall.Stop()
	if n := int64(len(p)); h.memory.Charge(n) {
		defer h.memory.Release(n, false)
	}
	return w.ResponseWriter.Write(p)
}

// Flush sends what was written, in the same time.
func (w *heldWriter) Flush() {
	if stall := w.held.stall; stall != nil {
		stall.Reset(transferTimeout)
		defer stall.Stop()
	}
	_ = w.held.control.Flush() // Fails only if the connection is closed.
}

// Unwrap returns the writer of net/http.
func (w *heldWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
