package berylprobe

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestLook(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = ln.Close() }()
	a, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	b, err := ln.Accept()
	require.NoError(t, err)
	defer func() { _ = b.Close() }()
	require.Equal(t, Quiet, Look(b))

	// A look does not wait for a reader that is blocked.
	read := make(chan struct{})
	go func() { _, _ = b.Read(make([]byte, 1)); close(read) }()
	time.Sleep(20 * time.Millisecond)
	begin := time.Now()
	require.Equal(t, Quiet, Look(b))
	require.Less(t, time.Since(begin), 100*time.Millisecond)
	_, err = a.Write([]byte("xy"))
	require.NoError(t, err)
	<-read
	require.Equal(t, Data, Look(b))
	_, err = b.Read(make([]byte, 1))
	require.NoError(t, err)
	require.NoError(t, a.Close())
	require.Eventually(t, func() bool { return Look(b) == Closed }, time.Second, time.Millisecond)
}
