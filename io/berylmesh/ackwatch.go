package berylmesh

import (
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// ackWatch closes a connection whose peer does not acknowledge data within tcpUserTimeout
// while a body is streamed on it. TCP_USER_TIMEOUT would also end a connection whose peer
// acknowledges everything but reads slowly, as it applies to data that waits for the window. It
// stays in force where TCP_INFO cannot replace it.
type ackWatch struct {
	nc   net.Conn
	info func(raw syscall.RawConn) (*unix.TCPInfo, error)

	mu        sync.Mutex
	streaming bool // a body is being written
	running   bool // a check is due
	acked     uint64
	ackedAt   time.Time // when the peer last owed no acknowledgement or had sent one
}

const ackCheckInterval = 250 * time.Millisecond

func newAckWatch(nc net.Conn) *ackWatch { return &ackWatch{nc: nc, info: tcpInfo} }

// SetTCPUserTimeout makes a connection fail when the peer does not acknowledge data
// within tcpUserTimeout. It is a Control function for net.Dialer and net.ListenConfig.
func SetTCPUserTimeout(_, _ string, raw syscall.RawConn) error {
	return setUserTimeout(raw, tcpUserTimeout)
}

func setUserTimeout(raw syscall.RawConn, timeout time.Duration) error {
	var err error
	if e := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	}); e != nil {
		return e
	}
	return err
}

func tcpInfo(raw syscall.RawConn) (*unix.TCPInfo, error) {
	var info *unix.TCPInfo
	var err error
	if e := raw.Control(func(fd uintptr) { info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) }); e != nil {
		return nil, e
	}
	return info, err
}

// begin is called before a streamed body is written.
func (w *ackWatch) begin() {
	raw := w.rawConn()
	if raw == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.streaming = true
	if w.running {
		return
	}
	// Kernels that do not report the window, and sockets that are no TCP sockets, report 0.
	if info, err := w.info(raw); err != nil || info.Snd_wnd == 0 {
		return
	}
	if setUserTimeout(raw, writeTimeout) != nil {
		return // The connection is closed.
	}
	w.running, w.acked, w.ackedAt = true, 0, time.Now()
	time.AfterFunc(ackCheckInterval, w.check)
}

// end is called after a streamed body was written. The last of it may not have been sent yet.
func (w *ackWatch) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.streaming = false
}

// check runs until the peer has acknowledged the whole body.
func (w *ackWatch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	raw := w.rawConn()
	if raw == nil {
		return
	}
	info, err := w.info(raw)
	if err != nil {
		w.stop(raw)
		return
	}
	now := time.Now()
	if info.Unacked == 0 || info.Snd_wnd == 0 || info.Bytes_acked != w.acked {
		w.acked, w.ackedAt = info.Bytes_acked, now
	}
	switch {
	case now.Sub(w.ackedAt) >= tcpUserTimeout:
		_ = w.nc.Close() // It may be closed already.
		return
	case !w.streaming && info.Unacked == 0 && info.Notsent_bytes == 0:
		w.stop(raw)
		return
	}
	time.AfterFunc(ackCheckInterval, w.check)
}

// stop ends the checks and puts the user timeout in force again. The caller holds the lock.
func (w *ackWatch) stop(raw syscall.RawConn) {
	w.running = false
	_ = setUserTimeout(raw, tcpUserTimeout) // Fails only if the connection is closed.
}

// rawConn returns nil for a connection that gives no access to its socket.
func (w *ackWatch) rawConn() syscall.RawConn {
	sc, ok := w.nc.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}
