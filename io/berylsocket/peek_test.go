package berylsocket

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestPeek(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = ln.Close() }()
	client, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	server, err := ln.Accept()
	require.NoError(t, err)
	defer func() { _ = server.Close() }()
	require.Equal(t, Empty, Peek(server))

	// Peek must not wait for a blocked read.
	readDone := make(chan struct{})
	go func() { _, _ = server.Read(make([]byte, 1)); close(readDone) }()
	time.Sleep(20 * time.Millisecond)
	start := time.Now()
	require.Equal(t, Empty, Peek(server))
	require.Less(t, time.Since(start), 100*time.Millisecond)
	_, err = client.Write([]byte("xy"))
	require.NoError(t, err)
	<-readDone
	require.Equal(t, Readable, Peek(server))
	_, err = server.Read(make([]byte, 1))
	require.NoError(t, err)
	require.NoError(t, client.Close())
	require.Eventually(t, func() bool { return Peek(server) == Closed }, time.Second, time.Millisecond)
}
