package berylmesh

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"berylspan/core/berylattempt"
	"berylspan/core/berylmemorybudget"
	"berylspan/io/berylmemory"
	"berylspan/io/berylreply"
	"berylspan/io/berylrequest"

	"github.com/stretchr/testify/require"
)

func TestRequestThatFindsNoMemoryIsRefusedAsUnsent(t *testing.T) {
	for name, change := range map[string]func(r *berylrequest.Request){
		"a long body":      func(r *berylrequest.Request) { r.Body = make([]byte, 40<<10) },
		"a long head":      func(r *berylrequest.Request) { r.Header.Set("X-A", strings.Repeat("a", 40<<10)) },
		"many short lines": func(r *berylrequest.Request) { r.Header = manyLines(400) },
		"one line repeated": func(r *berylrequest.Request) {
			r.Header["X-A"] = make([]string, 800)
		},
	} {
		t.Run(name, func(t *testing.T) {
			var handled, refused atomic.Int32
			memory := berylmemory.New(berylmemorybudget.Limits{Total: 40 << 10})
			m, addr := newPair(t, func(context.Context, *berylrequest.Request) *berylreply.Reply {
				handled.Add(1)
				return &berylreply.Reply{Outcome: berylattempt.Answered, Status: 200, Header: http.Header{}}
			}, Memory(memory, func() { refused.Add(1) }))
			dear := newRequest("1")
			change(dear)
			reply := m.Send(context.Background(), addr, dear)
			require.Equal(t, berylattempt.Unsent, reply.Outcome)
			require.Equal(t, berylreply.ReasonQueueFull, reply.Reason)
			require.EqualValues(t, 1, refused.Load())
			require.Zero(t, handled.Load())
			for i := range 10 {
				require.Equal(t, 200, m.Send(context.Background(), addr, newRequest(fmt.Sprint(i))).Status)
			}
		})
	}
}

func manyLines(n int) http.Header {
	h := http.Header{}
	for i := range n {
		h[fmt.Sprintf("X%d", i)] = []string{""}
	}
	return h
}
