package berylhttpserver

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

	"berylspan/core/berylhttpstatus"
	"berylspan/core/berylmemorybudget"
	"berylspan/io/beryllimitedreader"
	"berylspan/io/berylmemory"
	"berylspan/io/berylsocket"
)

const (
	readBufferSize  = 1 << 10                // bytes; most request headers fit
	writeBufferSize = 4 << 10                // bytes
	maxPipelined    = 64                     // pending requests on one connection
	maxBufferedBody = 64 << 10               // bytes; longer bodies are streamed
	transferTimeout = 30 * time.Second       // for reading a request body, and for each write of an answer
	lingerTimeout   = 500 * time.Millisecond // how long the rest of a body that is not needed may still arrive after the last answer
)

// conn is a connection of a caller.
type conn struct {
	server  *Server
	nc      net.Conn
	mem     *berylmemory.Holder
	meter   *meter
	limiter *beryllimitedreader.Reader

	nextIsAhead bool // the request that is read is counted as read ahead; used by the reader only

	br *bufio.Reader
	bw *bufio.Writer // valid only while an answer is written

	ctx    context.Context // of all requests
	cancel context.CancelFunc

	mu                sync.Mutex
	pending           []*pendingRequest // in the order of the requests
	keepAliveDisabled bool              // close after the next answer that leaves no request pending or arriving
	reading           bool              // a request, from its first byte to the end of its body
	arriving          bool              // a request, from its first byte to the end of its header
	readingStopped    bool
	lastRead          bool      // no further request is read, even if one has arrived
	bodyArriving      bool      // that of a request which is not started before it is whole
	bodiesEnded       bool      // no further body is read before its request is started, see mustBeWhole
	restricted        bool      // requests that begin to arrive later are late
	nextIsLate        bool      // the next request to be read is late
	late              bool      // the request that is being read is late: it is refused unless the server serves it while it stops
	answerDeadline    time.Time // no request is started any more and answers must be written by then; zero if not set
	since             time.Time // when it became idle, or a request began to arrive
	ended             bool      // set by the last answer and by abort
	err               error     // why the connection ended without an answer
	wg                sync.WaitGroup
}

func newConn(ctx context.Context, server *Server, nc net.Conn) *conn {
	c := &conn{server: server, nc: nc, since: time.Now()}
	c.mem = server.memory.Open(clientAddr(nc), c.evict)
	c.meter = &meter{c: c}
	c.limiter = &beryllimitedreader.Reader{R: c.meter, Remaining: beryllimitedreader.Unlimited}
	c.br = bufio.NewReaderSize(c.limiter, readBufferSize)
	c.ctx, c.cancel = context.WithCancel(ctx)
	return c
}

// clientAddr returns the address of a caller without its port.
func clientAddr(nc net.Conn) string {
	addr := nc.RemoteAddr().String()
	if host, _, err := net.SplitHostPort(addr); err == nil {
		return host
	}
	return addr
}

func (c *conn) busy() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending)
}

func (c *conn) disableKeepAlive() {
	c.mu.Lock()
	c.keepAliveDisabled = true
	c.mu.Unlock()
}

// stopReading stops reading requests. One more is read if it has begun to arrive, and all
// requests that were read are answered.
func (c *conn) stopReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readingStopped {
		return
	}
	c.readingStopped, c.lastRead = true, c.reading
	if !c.reading && !c.ended {
		c.unblockReader()
	}
}

// endBodies makes the request whose body is arriving be refused, unless it is passed on while
// it arrives.
func (c *conn) endBodies() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bodiesEnded = true
	if c.bodyArriving && c.mustBeWhole(c.late) && !c.ended {
		c.unblockReader()
	}
}

// beginBody sets the timeout for reading a body. It returns false if that may not be read any
// more.
func (c *conn) beginBody() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.mustBeWhole(c.late) || c.isWorkEnded() || c.ended {
		return false
	}
	c.bodyArriving = true
	_ = c.nc.SetReadDeadline(time.Now().Add(transferTimeout)) // Fails only if the connection is closed.
	return true
}

// endBody is called when a body is whole, or when its request may be started before that.
func (c *conn) endBody() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bodyArriving = false
}

// endWork cancels the requests that are being handled and makes the others be refused, so
// that all answers can be written until deadline.
func (c *conn) endWork(deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isWorkEnded() {
		return
	}
	c.answerDeadline = deadline
	for _, p := range c.pending {
		if p.cancel != nil {
			p.cancel(ErrStopping)
		}
	}
	switch {
	case c.ended:
	case c.arriving:
		c.setLateHeaderTimeout()
	default:
		c.unblockReader()
	}
	_ = c.nc.SetWriteDeadline(deadline) // Fails only if the connection is closed.
}

// setLateHeaderTimeout lets the header that is arriving become whole after the end of the work,
// in half of the time that is left for answers: a request whose header is known is refused with
// its id.
func (c *conn) setLateHeaderTimeout() {
	_ = c.nc.SetReadDeadline(time.Now().Add(time.Until(c.answerDeadline) / 2)) // Fails only if the connection is closed.
}

// isWorkEnded reports whether requests are no longer started. The caller holds the lock.
func (c *conn) isWorkEnded() bool { return !c.answerDeadline.IsZero() }

// unblockReader makes the current and all further reads fail.
func (c *conn) unblockReader() {
	_ = c.nc.SetReadDeadline(time.Now()) // Fails only if the connection is closed.
}

// beginReading reports whether the next request, of which the first byte has arrived, may be
// read. Requests behind the last answer count as not read.
func (c *conn) beginReading() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended || c.lastRead {
		return false
	}
	c.reading, c.arriving, c.lastRead = true, true, c.readingStopped
	c.late, c.nextIsLate = c.nextIsLate, c.restricted
	if c.isWorkEnded() {
		c.setLateHeaderTimeout()
	}
	return true
}

// awaitRequest waits for the first byte of the next request. After a timeout it still returns
// nil if the byte has arrived: this instance may not have had processor time to read it.
func (c *conn) awaitRequest() error {
	c.meter.part = partFirst
	_, err := c.br.Peek(1)
	if errors.Is(err, os.ErrDeadlineExceeded) && berylsocket.Peek(c.nc) == berylsocket.Readable {
		return nil
	}
	return err
}

// endReading removes the timeout that applied to the request, unless the last answer has set
// that of linger.
func (c *conn) endReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading, c.arriving = false, false
	switch {
	case c.ended:
	case c.readingStopped:
		c.unblockReader()
	default:
		_ = c.nc.SetReadDeadline(time.Time{}) // Fails only if the connection is closed.
	}
}

// setIdleTimeout starts the idle timeout if no request is pending or arriving.
func (c *conn) setIdleTimeout() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pending) == 0 && !c.arriving && !c.readingStopped && !c.isUnblockedByRestrict() && !c.ended {
		c.since = time.Now()
		_ = c.nc.SetReadDeadline(c.since.Add(c.server.Limits().IdleTimeout))
	}
}

// serve reads and starts requests until the connection ends.
func (c *conn) serve() {
	defer c.cancel()
	prevWritten := make(chan struct{})
	close(prevWritten)
	ok := true
	for ok && c.waitForCapacity() {
		c.setIdleTimeout()
		if err := c.awaitRequest(); err != nil {
			if c.resumeWaiting(err) {
				continue
			}
			c.cancelIfDisconnected(err)
			break
		}
		if !c.waitToReadAhead() || !c.beginReading() {
			break
		}
		limits := c.server.Limits()
		prevWritten, ok = c.readRequest(limits, prevWritten)
		c.endReading()
		if !ok {
			_, err := c.br.Peek(1)
			c.cancelIfDisconnected(err)
		}
	}
	<-prevWritten // The caller may still wait for its answers.
	c.cancel()
	c.wg.Wait()
	if !ok && !c.hasEnded() {
		c.linger() // A part of the last body was not read.
	}
	if !ok || c.hasEnded() {
		// Closing a connection with unread bytes resets it, and the caller could then lose the
		// last answer. The time for this is set by linger.
		_, _ = io.Copy(io.Discard, c.nc)
	}
	_ = c.nc.Close() // It may be closed already.
}

// cancelIfDisconnected cancels the requests if err of a read means that the caller has
// disconnected while it waits for answers.
func (c *conn) cancelIfDisconnected(err error) {
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) || c.hasEnded() {
		return
	}
	c.setErr(err)
	c.cancel()
}

// waitForCapacity waits until fewer than maxPipelined requests are pending. It returns
// false if the connection has ended.
func (c *conn) waitForCapacity() bool {
	for delay := minWaitDelay; c.busy() >= maxPipelined; delay = min(2*delay, maxWaitDelay) {
		time.Sleep(delay)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.ended
}

// waitToReadAhead waits until the next request, of which the first byte has arrived, may be
// read although an earlier one is pending. It returns false if the connection has ended.
func (c *conn) waitToReadAhead() bool {
	for delay := minWaitDelay; c.isAhead(partHead); delay = min(2*delay, maxWaitDelay) {
		if c.mem.BeginAhead(berylmemorybudget.RequestCost) {
			c.nextIsAhead = true
			break
		}
		time.Sleep(delay)
	}
	return !c.hasEnded()
}

// readRequest reads one request and starts it. prevWritten is closed when the answer to
// the previous request is written, or will not be written. readRequest returns the same
// kind of channel for its own request, and whether more requests may follow.
func (c *conn) readRequest(limits Limits, prevWritten chan struct{}) (chan struct{}, bool) {
	written := make(chan struct{})
	c.setReadTimeout(limits.HeaderTimeout)
	c.limiter.Remaining, c.limiter.Err = limits.MaxHeaderBytes, nil
	httpReq, err := c.readHeader(limits)
	if err != nil {
		status := errorStatus(err)
		if c.mustRefuse() {
			status = http.StatusServiceUnavailable
		}
		if status == 0 {
			c.abort(err)
			close(written)
			return written, false
		}
		a := &Answer{Status: status, Close: true}
		switch {
		case errors.Is(err, errMemory):
			c.server.onLimited(LimitedMemory)
			a = refuseOverloaded(nil)
		case errors.Is(err, errTooManyLines):
			c.server.onLimited(LimitedHeaderLines)
		}
		p := &pendingRequest{receivedAt: time.Now(), wait: WaitEarlierAnswer}
		c.addPending(p)
		c.wg.Go(func() { c.reply(p, written, prevWritten, a, false) })
		return written, false
	}
	r := &Request{Method: httpReq.Method, URI: httpReq.RequestURI, Path: httpReq.URL.EscapedPath(), Host: httpReq.Host, Header: httpReq.Header, Length: httpReq.ContentLength, ReceivedAt: time.Now()}
	r.CallerGone = func() bool { return berylsocket.Peek(c.nc) == berylsocket.Closed }
	p := &pendingRequest{id: c.server.requestID(r.Header), host: r.Host, path: r.Path, receivedAt: r.ReceivedAt, wait: WaitBody}
	c.addPending(p)
	if p.late && !c.server.serves(r) {
		c.setWait(p, WaitEarlierAnswer)
		c.wg.Go(func() {
			a := &Answer{Abort: true} // unless refuse returns
			c.server.guard(panicPart, func() { a = c.server.refuse(r) })
			c.reply(p, written, prevWritten, a, true)
		})
		return written, false
	}
	closeAfter := httpReq.Close || !httpReq.ProtoAtLeast(1, 1)
	if httpReq.ContentLength > limits.MaxBodyBytes {
		c.wg.Go(func() {
			c.reply(p, written, prevWritten, &Answer{Status: http.StatusRequestEntityTooLarge, Close: true}, false)
		})
		return written, false
	}
	if httpReq.ContentLength != 0 && strings.EqualFold(httpReq.Header.Get("Expect"), "100-continue") {
		<-prevWritten
		if !c.mustRefuseBody() {
			// If the connection is broken, reading the body fails.
			_, _ = c.nc.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
		}
	}
	stream, err := c.readBody(httpReq, p, r, limits)
	if err != nil {
		c.wg.Go(func() {
			a := &Answer{Abort: true} // unless bodyErrorAnswer returns
			c.server.guard(panicPart, func() { a = c.bodyErrorAnswer(r, err) })
			c.reply(p, written, prevWritten, a, true)
		})
		return written, false
	}
	if stream != nil {
		r.Hold = func(n int64) bool { return c.hold(p, n) }
	}
	c.wg.Go(func() {
		a := &Answer{Abort: true} // unless handle returns
		c.server.guard(panicPart, func() { a = c.handle(p, r, prevWritten) })
		defer c.endHandling(p, a)()
		c.chargeAnswer(p, a)
		c.reply(p, written, prevWritten, a, closeAfter)
		if stream != nil {
			stream.discardUnread()
		}
	})
	if stream != nil {
		// The next request follows the body.
		<-stream.done
		return written, !closeAfter && stream.complete
	}
	return written, !closeAfter
}

// readHeader reads the header of a request. If it did not arrive, the error is that of the
// connection or ErrLimit.
func (c *conn) readHeader(limits Limits) (*http.Request, error) {
	defer c.meter.endHead()
	if err := c.meter.beginHead(limits.MaxHeaderLines); err != nil {
		return nil, err
	}
	httpReq, err := http.ReadRequest(c.br)
	switch {
	case err == nil:
	case errors.Is(c.limiter.Err, errMemory), errors.Is(c.limiter.Err, errTooManyLines):
		err = c.limiter.Err
	case c.limiter.Exceeded():
		err = beryllimitedreader.ErrLimit
	case c.limiter.Err != nil:
		err = c.limiter.Err
	}
	c.limiter.Remaining = beryllimitedreader.Unlimited
	return httpReq, err
}

// handle returns the answer to a request. endHandling must be called afterwards.
func (c *conn) handle(p *pendingRequest, r *Request, prevWritten chan struct{}) *Answer {
	if c.server.MustRunInOrder(r) {
		c.setWait(p, WaitTurn)
		<-prevWritten
	}
	ctx, ok := c.beginHandling(p, r)
	switch {
	case ok:
		return c.server.Handle(ctx, r)
	case c.hasEnded():
		return &Answer{Abort: true}
	}
	return c.server.refuse(r)
}

// errorStatus returns the status of the answer to a request that could not be read, or 0
// if the connection is to be closed without an answer.
func errorStatus(err error) int {
	switch {
	case errors.Is(err, beryllimitedreader.ErrLimit), errors.Is(err, errTooManyLines):
		return http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, errMemory):
		return http.StatusServiceUnavailable
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

// bodyErrorAnswer returns the answer to a request that was not started because its body could
// not be read.
func (c *conn) bodyErrorAnswer(r *Request, err error) *Answer {
	status := errorStatus(err)
	switch {
	case c.mustRefuse(), c.mustRefuseBody() && errors.Is(err, os.ErrDeadlineExceeded):
		return c.server.refuse(r)
	case errors.Is(err, errMemory):
		c.server.onLimited(LimitedMemory)
		return c.server.refuseOverloaded(r)
	case errors.Is(err, errBodyTooLong):
		status = http.StatusRequestEntityTooLarge
	case status == 0:
		c.cancelIfDisconnected(err)
		return &Answer{Abort: true}
	}
	return &Answer{Status: status, Close: true}
}

// setReadTimeout sets the timeout for all further reads of the request together.
func (c *conn) setReadTimeout(timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isWorkEnded() && !c.ended {
		c.since = time.Now()
		_ = c.nc.SetReadDeadline(c.since.Add(timeout)) // Fails only if the connection is closed.
	}
}

// setWriteTimeout sets the timeout for the next write of an answer.
func (c *conn) setWriteTimeout() {
	c.mu.Lock()
	defer c.mu.Unlock()
	deadline := time.Now().Add(transferTimeout)
	if c.isWorkEnded() && c.answerDeadline.Before(deadline) {
		deadline = c.answerDeadline
	}
	_ = c.nc.SetWriteDeadline(deadline) // Fails only if the connection is closed.
}

// mustRefuse reports whether requests that have not been started must be refused.
func (c *conn) mustRefuse() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isWorkEnded()
}

// mustRefuseBody reports whether requests whose bodies are not whole must be refused.
func (c *conn) mustRefuseBody() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.mustBeWhole(c.late) || c.isWorkEnded()
}

// hasEnded reports whether no further answers are written on the connection.
func (c *conn) hasEnded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended
}

// setErr records why the connection ends, unless that is known already.
func (c *conn) setErr(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err == nil {
		c.err = err
	}
}

// abort closes the connection without further answers and cancels the other requests.
func (c *conn) abort(err error) {
	c.setErr(err)
	c.mu.Lock()
	c.ended = true
	c.mu.Unlock()
	_ = c.nc.Close() // It may be closed already.
	c.cancel()
}

// abortRequest closes the connection without answering the request.
func (c *conn) abortRequest(p *pendingRequest, err error) {
	c.abort(err)
	c.removeUnanswered(p)
}

// reply waits until prevWritten is closed and writes the answer. It closes written when
// the answer is written or no further answer may be written.
func (c *conn) reply(p *pendingRequest, written, prevWritten chan struct{}, a *Answer, closeAfter bool) {
	waited := true
	select {
	case <-prevWritten:
		waited = false
	default:
		<-prevWritten
	}
	if !c.server.guard(panicPart, func() { c.writeOrAbort(p, a, closeAfter, waited) }) {
		c.abortRequest(p, errPanic) // before written is closed, which lets the next answer be written
	}
	close(written)
}

// writeOrAbort writes the answer, or closes the connection if it can't be written whole. waited
// is set if the answer had to wait for earlier ones.
func (c *conn) writeOrAbort(p *pendingRequest, a *Answer, closeAfter, waited bool) {
	if stream := a.Stream; stream != nil {
		defer func() { _ = stream.Close() }() // It was read to its end, or the rest is not needed.
	}
	if c.hasEnded() {
		c.removeUnanswered(p) // The last answer may still be on its way.
		return
	}
	if a.Abort || c.ctx.Err() != nil {
		c.abortRequest(p, errAbort)
		return
	}
	c.mu.Lock()
	p.wait = WaitCaller
	closeConn := closeAfter || a.Close || (c.keepAliveDisabled && len(c.pending) == 1 && !c.arriving)
	if closeConn {
		c.ended = true
	}
	c.mu.Unlock()
	switch {
	case !berylhttpstatus.IsFinal(a.Status):
		a = a.failed(errStatus)
	case waited && a.Stream != nil && !a.noBody():
		// Its source may have failed meanwhile. After its head, an answer can't be replaced.
		first := newPrefetched(a.Stream)
		if err := first.failure(); err != nil && c.ctx.Err() == nil {
			a = a.failed(err)
		} else {
			a.Stream = first
		}
	}
	c.setWriteTimeout()
	c.bw = c.server.writer(c.nc)
	err := c.write(a, closeConn)
	c.server.writers.Put(c.bw)
	if err != nil {
		if errors.Is(err, os.ErrDeadlineExceeded) && !c.mustRefuse() {
			c.server.onLimited(LimitedUnreadAnswer)
		}
		c.abortRequest(p, err)
		return
	}
	c.removePending(p)
	if closeConn {
		c.linger()
		c.cancel() // Nothing else on the connection can be answered.
		return
	}
	c.setIdleTimeout()
}

// linger closes the writing side of the connection and lets the reading side stay open
// for at most lingerTimeout.
func (c *conn) linger() {
	if tc, ok := c.nc.(*net.TCPConn); ok {
		_ = tc.CloseWrite() // The connection is closed later in any case.
	}
	_ = c.nc.SetReadDeadline(time.Now().Add(lingerTimeout))
}
