package berylapp

import (
	"os"
	"os/exec"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// startWith starts the program with w as its standard error and closes w.
func (s *site) startWith(p *process, w *os.File) {
	bin, err := build()
	require.NoError(s.t, err)
	p.cmd = exec.Command(bin, "serve", "-settings", s.settings(p))
	p.cmd.Stderr = w
	require.NoError(s.t, p.cmd.Start())
	require.NoError(s.t, w.Close())
	p.done = make(chan struct{})
	go func() { p.err = p.cmd.Wait(); close(p.done) }()
}

// Guards against the end of the process, and of its calls, when what reads its log ends.
func TestClosedLogOutputEndsServe(t *testing.T) {
	s := newSite(t, 1000, long)
	s.start(s.nodes[1:]...)
	p := s.nodes[0]
	r, w, err := os.Pipe()
	require.NoError(t, err)
	s.startWith(p, w)
	s.until("it serves", func() bool { return s.call(p, getPath, "key", "") == nil })
	require.NoError(t, r.Close())
	results := s.startCalls(p, 8)
	p.signal(syscall.SIGTERM)
	require.Empty(t, results())
	p.ended(t)
}

// Guards against a daemon that neither serves nor stops while nothing reads its log.
func TestFullLogOutputHoldsUpServe(t *testing.T) {
	s := newSite(t, 1000, long)
	s.start(s.nodes[1:]...)
	p := s.nodes[0]
	r, w, err := os.Pipe()
	require.NoError(t, err)
	defer func() { require.NoError(t, r.Close()) }()
	fill(t, w)
	s.startWith(p, w)
	s.until("it serves", func() bool { return s.call(p, getPath, "key", "") == nil })
	results := s.startCalls(p, 8)
	p.signal(syscall.SIGTERM)
	require.Empty(t, results())
	p.ended(t)
}

// fill writes to a pipe until it takes no more.
func fill(t *testing.T, w *os.File) {
	fd := int(w.Fd()) //nolint:gosec // A descriptor fits.
	require.NoError(t, unix.SetNonblock(fd, true))
	for _, size := range []int{4096, 1} {
		for {
			if _, err := unix.Write(fd, make([]byte, size)); err != nil {
				require.ErrorIs(t, err, unix.EAGAIN)
				break
			}
		}
	}
	require.NoError(t, unix.SetNonblock(fd, false))
}
