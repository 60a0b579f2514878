package berylgossip

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func TestPeersFollowHeartbeatsAndExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := New(nil, 0, nil, nil)
		hosts := func() (out []string) {
			for _, p := range g.Peers() {
				out = append(out, p.Host)
			}
			return out
		}
		require.Empty(t, hosts())
		require.True(t, g.recordHeartbeat("b", Heartbeat{Epoch: 1, Busy: 1}))
		require.True(t, g.recordHeartbeat("a", Heartbeat{Epoch: 1}))
		require.Equal(t, []string{"a", "b"}, hosts())
		before := g.Peers()
		time.Sleep(peerTTL)
		require.Equal(t, []string{"a", "b"}, hosts())
		require.True(t, g.recordHeartbeat("b", Heartbeat{Epoch: 1, Busy: 2}))
		require.Equal(t, 2, g.Peers()[1].Heartbeat.Busy)
		require.Equal(t, 1, before[1].Heartbeat.Busy, "a result does not change later")
		time.Sleep(time.Millisecond)
		require.Equal(t, []string{"b"}, hosts(), "without another heartbeat")
		time.Sleep(peerTTL)
		require.Empty(t, hosts())
	})
}
