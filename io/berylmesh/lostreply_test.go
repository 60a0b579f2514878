package berylmesh

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"berylspan/core/berylattempt"
	"berylspan/io/berylreply"
	"berylspan/io/berylrequest"

	"github.com/stretchr/testify/require"
)

// Guards against the refusal at the end of a drain that is taken for the reply to a request which
// ran and whose reply was lost.
func TestRequestThatRanIsUnsentAfterItsReplyWasLost(t *testing.T) {
	var ran atomic.Int32
	m, s, addr := newServer(t, func(context.Context, *berylrequest.Request) *berylreply.Reply {
		ran.Add(1)
		return wholeReply([]byte("answer"))
	})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = ln.Close() }() // Nothing is left to be done about it.
	lost := make(chan struct{})
	go func() { // It carries a connection and loses the first bytes from the server.
		a, err := ln.Accept()
		if err != nil {
			return
		}
		defer func() { _ = a.Close() }() // As above.
		b, err := net.Dial("tcp", addr)
		if err != nil {
			return
		}
		defer func() { _ = b.Close() }() // As above.
		go func() { _, _ = b.(*net.TCPConn).ReadFrom(a) }()
		buf := make([]byte, 4<<10)
		if _, err := b.Read(buf); err != nil {
			return
		}
		close(lost)
		_, _ = a.(*net.TCPConn).ReadFrom(b) // Until the server closes it.
	}()
	replies := make(chan *berylreply.Reply, 1)
	go func() { replies <- m.Send(context.Background(), ln.Addr().String(), newRequest("1")) }()
	<-lost
	s.Drain(time.Second, replyTime)
	require.EqualValues(t, 1, ran.Load())
	require.Equal(t, berylattempt.Unknown, (<-replies).Outcome, "the request ran")
}
