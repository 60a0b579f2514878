package beryllog

import (
	"bytes"
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestCloseWritesTheBufferedLines(t *testing.T) {
	var out bytes.Buffer
	w := New(&out)
	for range 3 {
		_, err := w.Write([]byte("line\n"))
		require.NoError(t, err)
	}
	w.Close()
	require.Equal(t, "line\nline\nline\n", out.String())
}

func TestCloseGivesUpWhenTheOutputTakesNothing(t *testing.T) {
	r, out := io.Pipe()
	w := New(out)
	_, err := w.Write([]byte("line\n"))
	require.NoError(t, err)
	closed := make(chan struct{})
	go func() { w.Close(); close(closed) }()
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		require.Fail(t, "still closing")
	}
	require.NoError(t, r.Close())
}
