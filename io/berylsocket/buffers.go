package berylsocket

import "syscall"

// SetReadBuffer returns a Control function for net.ListenConfig and net.Dialer that bounds how many
// bytes the kernel holds of what was received on each connection and not yet read. Without it, the
// kernel lets that grow to megabytes. What is to be sent is left to the kernel: at the end of the
// process it still delivers the rest of an answer to a caller that reads slowly.
func SetReadBuffer(n int) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			// Connections work without it too. The kernel doubles the value.
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, n/2)
		})
	}
}
