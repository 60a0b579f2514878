package berylapp

import (
	"net/http"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"berylspan/io/berylfakebackend"
)

func long(string) berylfakebackend.Work { return berylfakebackend.Work{Time: 1500 * time.Millisecond} }

// startCalls starts n calls at p and returns a function that waits for their ends and returns
// the errors.
func (s *site) startCalls(p *process, n int) func() []error {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var failed []error
	s.mu.Lock()
	before := len(s.runs[getPath])
	s.mu.Unlock()
	for range n {
		wg.Go(func() {
			if err := s.call(p, getPath, "key", ""); err != nil {
				mu.Lock()
				defer mu.Unlock()
				failed = append(failed, err)
			}
		})
	}
	s.until("all calls run", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.runs[getPath]) >= before+n
	})
	return func() []error { wg.Wait(); return failed }
}

// ended waits until the process has ended and checks that it ended with exit code 0.
func (p *process) ended(t *testing.T) {
	t.Helper()
	select {
	case <-p.done:
	case <-time.After(16 * time.Second): // One more than the settings allow.
		require.Fail(t, "the process did not end")
	}
	require.Equal(t, "exit status 0", p.cmd.ProcessState.String())
	p.cmd = nil
}

// runsOn checks that the process does not end within d.
func (p *process) runsOn(t *testing.T, d time.Duration) {
	t.Helper()
	select {
	case <-p.done:
		require.Fail(t, "the process ended", p.cmd.ProcessState.String())
	case <-time.After(d):
	}
}

// launch starts the program without waiting until it serves.
func (s *site) launch(p *process) {
	bin, err := build()
	require.NoError(s.t, err)
	p.cmd = exec.Command(bin, "serve", "-settings", s.settings(p))
	p.cmd.Stderr = p.log
	require.NoError(s.t, p.cmd.Start())
	p.done = make(chan struct{})
	go func() { p.err = p.cmd.Wait(); close(p.done) }()
}

// Guards against the loss of all calls under way when a daemon that serves, or stops, gets
// SIGHUP.
func TestSIGHUPEndsServe(t *testing.T) {
	for _, stopping := range []bool{false, true} {
		name := "while it serves"
		if stopping {
			name = "while it stops"
		}
		t.Run(name, func(t *testing.T) {
			s := newSite(t, 1000, long)
			s.start(s.nodes...)
			s.served()
			p := s.nodes[0]
			results := s.startCalls(p, 8)
			if stopping {
				p.signal(syscall.SIGTERM)
				time.Sleep(100 * time.Millisecond)
			}
			p.signal(syscall.SIGHUP)
			require.Empty(t, results())
			if !stopping {
				p.signal(syscall.SIGTERM)
			}
			p.ended(t)
		})
	}
}

// Guards against a daemon that ends when SIGHUP comes before it serves.
func TestSIGHUPDuringStartEndsServe(t *testing.T) {
	s := newSite(t, 1000, quick)
	p := s.nodes[0]

	// The named pipe holds the program up while it reads its settings.
	data, err := os.ReadFile(s.settings(p))
	require.NoError(t, err)
	require.NoError(t, os.Remove(s.settings(p)))
	require.NoError(t, unix.Mkfifo(s.settings(p), 0o600))
	s.platform.Down(true)
	s.launch(p)
	var f *os.File
	s.until("the program reads its settings", func() bool {
		f, err = os.OpenFile(s.settings(p), os.O_WRONLY|syscall.O_NONBLOCK, 0)
		return err == nil
	})
	p.signal(syscall.SIGHUP)
	p.runsOn(t, 100*time.Millisecond)
	_, err = f.Write(data)
	require.NoError(t, err)
	require.NoError(t, f.Close())

	// Now it waits for a configuration.
	s.until("it listens", func() bool { return s.explain(p, "/explain").status != 0 })
	p.signal(syscall.SIGHUP)
	p.runsOn(t, 100*time.Millisecond)
	s.platform.Down(false)
	s.until("it is ready", func() bool { return s.explain(p, "/health").status == http.StatusOK })
}

// Guards against the loss of calls by signals other than SIGHUP that come during a stop.
func TestSignalsDuringGracefulStopEndServe(t *testing.T) {
	s := newSite(t, 1000, long)
	s.start(s.nodes...)
	s.served()
	p := s.nodes[0]
	results := s.startCalls(p, 8)
	for _, sig := range []syscall.Signal{
		syscall.SIGUSR1, syscall.SIGUSR2, syscall.SIGALRM, syscall.SIGPIPE, syscall.SIGTERM, syscall.SIGTERM,
		syscall.SIGINT, syscall.SIGUSR1, syscall.SIGUSR2, syscall.SIGALRM, syscall.SIGPIPE, syscall.SIGVTALRM,
		syscall.SIGXCPU, syscall.SIGXFSZ, syscall.SIGIO, syscall.SIGPWR, syscall.SIGWINCH,
	} {
		p.signal(sig)
		time.Sleep(20 * time.Millisecond)
	}
	require.Empty(t, results())
	p.ended(t)
}

// Guards against a planned stop that looks like a failure because it came early.
func TestSIGTERMDuringStartOfServeIsToldAsFailure(t *testing.T) {
	s := newSite(t, 1000, quick)
	s.platform.Down(true)
	p := s.nodes[0]
	s.launch(p)
	s.until("it listens", func() bool { return s.explain(p, "/explain").status != 0 })
	p.signal(syscall.SIGTERM)
	p.ended(t)
}
