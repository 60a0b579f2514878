package berylsocket

import "syscall"

// SetBuffers returns a function for net.ListenConfig.Control that bounds how many bytes the
// kernel holds for each connection that is accepted, in each direction.
func SetBuffers(n int) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			// Connections work without it too. The kernel doubles the value.
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, n/2)
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, n/2)
		})
	}
}
