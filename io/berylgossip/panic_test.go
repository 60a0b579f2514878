package berylgossip

import (
	"context"
	"net"
	"testing"
	"time"

	"berylspan/io/berylpanic"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

func TestPanicEndsOnlyTheHandlingOfItsDatagram(t *testing.T) {
	listen := func() *net.UDPConn {
		c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		require.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
	conn := listen()
	panics, data := make(chan string, 2), make(chan string, 1)
	guard := berylpanic.New(zerolog.Nop(), berylpanic.OnPanic(func(part string) { panics <- part }))
	g := New(conn, 0, func(string, Heartbeat) { panic("heartbeat") }, func(_ string, d []byte) {
		if string(d) == "bad" {
			panic("data")
		}
		data <- string(d)
	}, Guard(guard.Run))
	done := make(chan struct{})
	go func() { g.Run(context.Background()); close(done) }()
	t.Cleanup(func() { _ = conn.Close(); <-done })
	addr, ok := conn.LocalAddr().(*net.UDPAddr)
	require.True(t, ok)
	sender := New(listen(), addr.AddrPort().Port(), nil, nil)
	require.NoError(t, sender.SendHeartbeat([]string{"127.0.0.1"}, Heartbeat{Epoch: 1}))
	sender.SendData("127.0.0.1", []byte("bad"))
	sender.SendData("127.0.0.1", []byte("good"))
	for range 2 {
		select {
		case part := <-panics:
			require.Equal(t, "datagram", part)
		case <-time.After(2 * time.Second):
			t.Fatal("a panic was not reported within 2 s")
		}
	}
	require.Equal(t, "good", <-data)
}
