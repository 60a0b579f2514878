package berylapp

import (
	"os"
	"os/exec"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
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
