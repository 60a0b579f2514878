package berylhttpserver

import (
	"bytes"
	"net"
	"time"

	"berylspan/core/berylmemorybudget"
)

// meter reads from a connection and charges what is held of the request that arrives. Bytes
// that were read behind a request are charged to it. Only the reader of the connection uses it.
type meter struct {
	c        *conn
	part     part
	bytes    int // of the head
	lines    int // of the head
	maxLines int // 0 for no limit
	head     int64
	charged  int64 // and not yet assigned to a pending request
}

type part int

const (
	partNone  part = iota // nothing is held of what is read
	partFirst             // the first bytes of a head, which are charged by beginHead
	partHead
	partBody
)

const bodyByteCost = 2 // of each byte of a body that is read whole: its buffer grows by up to half

// Read reads from the connection. While an earlier request is pending it waits until more may
// be held. It fails if the request must be refused.
func (m *meter) Read(p []byte) (int, error) {
	n, err := m.c.nc.Read(p)
	if n == 0 || m.part == partNone {
		return n, err
	}
	var chargeErr error
	if m.part == partBody {
		chargeErr = m.charge(int64(n) * bodyByteCost)
	} else {
		m.bytes += n
		m.lines += bytes.Count(p[:n], []byte{'\n'})
		if m.part == partHead {
			chargeErr = m.chargeHead()
		}
	}
	if chargeErr != nil {
		return 0, chargeErr
	}
	return n, err
}

// beginHead charges what an ordinary request costs, and what has been read of the head.
func (m *meter) beginHead(maxLines int) error {
	m.part, m.maxLines, m.head = partHead, maxLines, 0
	if err := m.charge(berylmemorybudget.RequestCost); err != nil {
		return err
	}
	return m.chargeHead()
}

// endHead is called when a head was read or has failed.
func (m *meter) endHead() { m.part, m.bytes, m.lines = partNone, 0, 0 }

// chargeHead charges what the head costs more than it did before.
func (m *meter) chargeHead() error {
	if m.maxLines > 0 && m.lines > m.maxLines {
		return errTooManyLines
	}
	head := berylmemorybudget.ExtraHeadCost(m.bytes, m.lines)
	if head == m.head {
		return nil
	}
	err := m.charge(head - m.head)
	m.head = head
	return err
}

// charge waits until n bytes may be read ahead if an earlier request is pending.
func (m *meter) charge(n int64) error {
	c := m.c
	waited := false
	for delay := minWaitDelay; c.isAhead(m.part) && !c.mem.MayReadAhead(n); delay = min(2*delay, maxWaitDelay) {
		waited = true
		time.Sleep(delay)
	}
	if c.hasEnded() {
		return net.ErrClosed
	}
	if !c.mem.Charge(n) {
		if c.hasEnded() { // It was closed for another one.
			return net.ErrClosed
		}
		return errMemory
	}
	m.charged += n
	if waited {
		c.resumeReading(m.part)
	}
	return nil
}

const (
	minWaitDelay = time.Millisecond
	maxWaitDelay = 16 * time.Millisecond
)

// endBody makes p hold a body that was read, of which n bytes are held.
func (m *meter) endBody(p *pendingRequest, n int64) {
	m.part = partNone
	if excess := m.charged - n; excess > 0 {
		m.c.mem.Release(excess, false)
		m.charged = n
	}
	m.assign(p)
}

// assign makes p hold what has been charged.
func (m *meter) assign(p *pendingRequest) {
	n := m.charged
	m.charged = 0
	m.c.mu.Lock()
	p.charged += n
	m.c.mu.Unlock()
}

// isAhead reports whether a request is pending before the one that is read.
func (c *conn) isAhead(part part) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := len(c.pending)
	if part == partBody {
		before-- // The request itself is pending.
	}
	return before > 0 && !c.ended && !c.isWorkEnded()
}

// resumeReading starts the timeout for reading anew after a wait of this server, unless the
// reader was unblocked for good.
func (c *conn) resumeReading(part part) {
	timeout := transferTimeout
	if part == partHead {
		timeout = c.server.Limits().HeaderTimeout
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.readingStopped && !c.restricted && !c.bodiesEnded && !c.isWorkEnded() && !c.ended {
		_ = c.nc.SetReadDeadline(time.Now().Add(timeout)) // Fails only if the connection is closed.
	}
}

// hold charges n bytes to a pending request until it is removed, and reports whether they may be
// held.
func (c *conn) hold(p *pendingRequest, n int64) bool {
	if !c.mem.Charge(n) {
		return false
	}
	c.mu.Lock()
	removed := p.removed
	if !removed {
		p.charged += n
	}
	c.mu.Unlock()
	if removed {
		c.mem.Release(n, false)
	}
	return !removed
}

// chargeAnswer charges an answer that is held until its turn. If there is no memory for it and
// the caller has not read earlier ones, the connection is closed.
func (c *conn) chargeAnswer(p *pendingRequest, a *Answer) {
	cost := int64(len(a.Body))
	if a.Stream != nil {
		cost += berylmemorybudget.StreamCost
	}
	if cost <= ordinaryAnswer || c.hold(p, cost) {
		return
	}
	if c.busy() > 1 && !c.hasEnded() {
		c.abort(errMemory)
		c.server.onLimited(LimitedAnswers)
	}
}

const ordinaryAnswer = 2 << 10 // bytes, covered by the cost of a request
