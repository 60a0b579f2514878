// Package berylsocket checks whether a connection is open without reading from it.
package berylsocket

import (
	"net"
	"syscall"
)

// State tells what a read from a connection would return.
type State int

// Possible states.
const (
	Empty    State = iota // no data yet
	Readable              // data, even if the peer has closed the connection after it
	Closed                // the end of the stream, or an error
)

// Peek returns the state of a connection without consuming data. It never blocks. For a
// connection that gives no access to its socket it returns Empty.
func Peek(nc net.Conn) State {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return Empty
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return Closed
	}
	state := Closed
	// RawConn.Read would wait for a read that is in progress, Control does not.
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case e == syscall.EAGAIN || e == syscall.EINTR:
			state = Empty
		case e == nil && n > 0:
			state = Readable
		}
	})
	if err != nil {
		return Closed
	}
	return state
}
