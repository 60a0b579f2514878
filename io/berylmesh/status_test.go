package berylmesh

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"berylspan/core/berylattempt"
	"berylspan/io/berylreply"
	"berylspan/io/berylrequest"

	"github.com/stretchr/testify/require"
)

// Another instance passes on an answer whose status no answer may have.
func TestReplyWithImpossibleStatusReachesTheCaller(t *testing.T) {
	for _, status := range []int{-200, 0, 20, 99, 100, 101, 199, 600, 999, 2000} {
		for _, streamed := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d/streamed %v", status, streamed), func(t *testing.T) {
				m, addr := newPair(t, func(context.Context, *berylrequest.Request) *berylreply.Reply {
					r := &berylreply.Reply{Outcome: berylattempt.Answered, Status: status, Header: http.Header{}, Body: []byte("body"), Length: 4}
					if streamed {
						r.Stream, r.Length = io.NopCloser(strings.NewReader("more")), 8
					}
					return r
				})
				reply := m.Send(context.Background(), addr, newRequest("1"))
				reply.Close()
				require.Equal(t, berylattempt.Unknown, reply.Outcome)
			})
		}
	}
}
