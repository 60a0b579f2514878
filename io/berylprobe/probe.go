// Package berylprobe looks at a connection without reading from it.
package berylprobe

import (
	"net"
	"syscall"
)

// State is what waits to be read on a connection.
type State int

// States.
const (
	Quiet  State = iota // nothing
	Data                // bytes
	Closed              // its end, or an error
)

// Look returns the state of a connection.
func Look(nc net.Conn) State {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return Quiet
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return Closed
	}
	state := Closed
	// Control, unlike Read, does not wait for a reader that is blocked.
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case e == syscall.EAGAIN || e == syscall.EINTR:
			state = Quiet
		case e == nil && n > 0:
			state = Data
		}
	})
	if err != nil {
		return Closed
	}
	return state
}
