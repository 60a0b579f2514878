package berylmesh

import (
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

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
			nc, err := net.Dial("tcp", ln.Addr().String())
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
			var millis int
			require.NoError(t, w.rawConn().Control(func(fd uintptr) {
				millis, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
			}))
			require.NoError(t, err)
			require.Equal(t, tc.want, time.Duration(millis)*time.Millisecond)
		})
	}
}
