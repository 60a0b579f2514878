package berylmesh

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// userTimeout returns the TCP_USER_TIMEOUT of a connection.
func userTimeout(t *testing.T, nc net.Conn) time.Duration {
	t.Helper()
	sc, ok := nc.(syscall.Conn)
	require.True(t, ok)
	raw, err := sc.SyscallConn()
	require.NoError(t, err)
	var ms int
	require.NoError(t, raw.Control(func(fd uintptr) {
		ms, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	}))
	require.NoError(t, err)
	return time.Duration(ms) * time.Millisecond
}

// Without TCP_INFO, connections lost the bound on unacknowledged data for good.
func TestConnectionHasNoUserTimeoutWithoutTCPInfo(t *testing.T) {
	unavailable := func(syscall.RawConn) (*unix.TCPInfo, error) { return nil, unix.ENOPROTOOPT }
	for _, tc := range []struct {
		name         string
		first, later func(raw syscall.RawConn) (*unix.TCPInfo, error)
		want         time.Duration // while a body is streamed
	}{
		{"available: raised while a body is streamed", tcpInfo, tcpInfo, writeTimeout},
		{"not available", unavailable, unavailable, tcpUserTimeout},
		{"no longer available", tcpInfo, unavailable, tcpUserTimeout},
		{"all fields are zero", func(syscall.RawConn) (*unix.TCPInfo, error) { return &unix.TCPInfo{}, nil }, tcpInfo, tcpUserTimeout},
		{"kernel does not tell the window", func(raw syscall.RawConn) (*unix.TCPInfo, error) {
			info, err := tcpInfo(raw)
			if err == nil {
				info.Snd_wnd = 0
			}
			return info, err
		}, tcpInfo, tcpUserTimeout},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer func() { _ = ln.Close() }()
			nc, err := (&net.Dialer{Control: SetTCPUserTimeout}).DialContext(context.Background(), "tcp", ln.Addr().String())
			require.NoError(t, err)
			defer func() { _ = nc.Close() }()
			w := newAckWatch(nc)
			calls := 0
			w.info = func(raw syscall.RawConn) (*unix.TCPInfo, error) {
				if calls++; calls == 1 {
					return tc.first(raw)
				}
				return tc.later(raw)
			}
			w.begin()
			time.Sleep(3 * ackCheckInterval)
			require.Equal(t, tc.want, userTimeout(t, nc))
			w.end()
			require.Eventually(t, func() bool { return userTimeout(t, nc) == tcpUserTimeout }, 4*ackCheckInterval, time.Millisecond)
		})
	}
}

// A connection whose state could not be read kept the long timeout for unacknowledged data.
func TestPeerThatIsGoneIsFoundLateWithoutTCPInfo(t *testing.T) {
	for _, tc := range []struct {
		name   string
		fail   bool // whether TCP_INFO can't be read
		bodies int
		want   time.Duration // TCP_USER_TIMEOUT while the last body is streamed
	}{
		{"state is read: long timeout", false, 1, writeTimeout},
		{"state can't be read: short timeout", true, 1, tcpUserTimeout},
		{"state can't be read, second body: short timeout", true, 2, tcpUserTimeout},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			nc, err := (&net.Dialer{Control: SetTCPUserTimeout}).DialContext(context.Background(), "tcp", ln.Addr().String())
			require.NoError(t, err)
			t.Cleanup(func() { _ = nc.Close(); _ = ln.Close() })
			w := newAckWatch(nc)
			if tc.fail {
				w.info = func(syscall.RawConn) (*unix.TCPInfo, error) { return nil, unix.ENOPROTOOPT }
			}
			for i := range tc.bodies {
				if i > 0 {
					w.end()
				}
				w.begin()
				time.Sleep(2 * ackCheckInterval)
			}
			require.Equal(t, tc.want, userTimeout(t, nc))
		})
	}
}
