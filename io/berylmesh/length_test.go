package berylmesh

import (
	"context"
	"net/http"
	"testing"

	"berylspan/core/berylattempt"
	"berylspan/io/berylreply"
	"berylspan/io/berylrequest"

	"github.com/stretchr/testify/require"
)

// The length that a server told in its answer to HEAD was lost between instances.
func TestLengthOfReplyToHeadIsLost(t *testing.T) {
	for _, length := range []int64{0, 12, 5 << 30, -1} {
		m, addr := newPair(t, func(context.Context, *berylrequest.Request) *berylreply.Reply {
			return &berylreply.Reply{Outcome: berylattempt.Answered, Status: 200, Header: http.Header{}, Length: length}
		})
		for range 2 {
			req := newRequest("1")
			req.Method = http.MethodHead
			reply := m.Send(context.Background(), addr, req)
			require.Equal(t, berylattempt.Answered, reply.Outcome)
			require.Empty(t, reply.Body)
			require.Nil(t, reply.Stream)
			require.Equal(t, length, reply.Length)
		}
	}
}
