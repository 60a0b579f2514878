package berylsignals

import (
	"bytes"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// process delivers signals to Signals and keeps its log.
type process struct {
	mu    sync.Mutex
	chans map[os.Signal]chan<- os.Signal
	log   bytes.Buffer
}

func (p *process) notify(c chan<- os.Signal, sig ...os.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range sig {
		p.chans[s] = c
	}
}

// Write implements io.Writer.
func (p *process) Write(line []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.Write(line)
}

func (p *process) lines() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return strings.Split(strings.TrimSuffix(p.log.String(), "\n"), "\n")
}

func newProcess() (*process, *Signals) {
	p := &process{chans: map[os.Signal]chan<- os.Signal{}}
	return p, New(Handlers(p.notify, func(...os.Signal) {}))
}

// send delivers a signal and waits for its log line.
func (p *process) send(t *testing.T, sig syscall.Signal) string {
	t.Helper()
	before := p.lines()
	p.chans[sig] <- sig
	require.Eventually(t, func() bool { return len(p.lines()) > len(before) || before[0] == "" && p.lines()[0] != "" }, 5*time.Second, time.Millisecond)
	lines := p.lines()
	return lines[len(lines)-1]
}

func TestSignalInEachState(t *testing.T) {
	for _, tc := range []struct {
		name    string
		signal  syscall.Signal
		state   func(s *Signals)
		reloads bool
		line    string
		stops   bool
		reload  bool
	}{
		{"SIGTERM stops a process that starts", syscall.SIGTERM, func(*Signals) {}, true, `{"level":"info","signal":"SIGTERM","state":"starting","action":"stop","message":"signal"}`, true, false},
		{"SIGINT stops a process that serves", syscall.SIGINT, (*Signals).Serving, true, `{"level":"info","signal":"SIGINT","state":"serving","action":"stop","message":"signal"}`, true, false},
		{"SIGTERM does nothing to a process that stops", syscall.SIGTERM, (*Signals).Stopping, true, `{"level":"info","signal":"SIGTERM","state":"stopping","action":"none","message":"signal"}`, false, false},
		{"SIGHUP reloads while the process starts", syscall.SIGHUP, func(*Signals) {}, true, `{"level":"info","signal":"SIGHUP","state":"starting","action":"reload settings","message":"signal"}`, false, true},
		{"SIGHUP reloads while the process serves", syscall.SIGHUP, (*Signals).Serving, true, `{"level":"info","signal":"SIGHUP","state":"serving","action":"reload settings","message":"signal"}`, false, true},
		{"SIGHUP does nothing without reloads", syscall.SIGHUP, (*Signals).Serving, false, `{"level":"info","signal":"SIGHUP","state":"serving","action":"none","message":"signal"}`, false, false},
		{"SIGHUP does nothing to a process that stops", syscall.SIGHUP, (*Signals).Stopping, true, `{"level":"info","signal":"SIGHUP","state":"stopping","action":"none","message":"signal"}`, false, false},
		{"SIGUSR1 does nothing", syscall.SIGUSR1, (*Signals).Serving, true, `{"level":"info","signal":"SIGUSR1","state":"serving","action":"none","message":"signal"}`, false, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p, s := newProcess()
			s.Daemon(zerolog.New(p))
			if tc.reloads {
				s.Reloads()
			}
			tc.state(s)
			require.Equal(t, tc.line, p.send(t, tc.signal))
			require.Equal(t, tc.stops, s.Context().Err() != nil)
			require.Len(t, s.reloads, map[bool]int{true: 1}[tc.reload])
		})
	}
}

func TestSignalsBeforeDaemonAreLoggedLater(t *testing.T) {
	p, s := newProcess()
	p.chans[syscall.SIGTERM] <- syscall.SIGTERM
	<-s.Context().Done()
	require.Equal(t, []string{""}, p.lines())
	require.Eventually(t, func() bool {
		s.Daemon(zerolog.New(p))
		return p.lines()[0] == `{"level":"info","signal":"SIGTERM","state":"starting","action":"stop","message":"signal"}`
	}, 5*time.Second, time.Millisecond)
}

func TestManySIGHUPsDisplaceNoSIGTERM(t *testing.T) {
	p, s := newProcess()
	s.mu.Lock() // Holds up the receiver.
	hup, term := p.chans[syscall.SIGHUP], p.chans[syscall.SIGTERM]
	for range 10 * signalBuffer {
		select { // As signal.Notify does.
		case hup <- syscall.SIGHUP:
		default:
		}
	}
	select {
	case term <- syscall.SIGTERM:
	default:
	}
	s.mu.Unlock()
	select {
	case <-s.Context().Done():
	case <-time.After(5 * time.Second):
		require.Fail(t, "SIGTERM was lost")
	}
}

func TestSIGHUPEndsACommandThatIsNoDaemon(t *testing.T) {
	for _, tc := range []struct {
		name    string
		early   bool
		ignored bool
	}{
		{"after it is known to be none", false, false},
		{"before it is known to be none", true, false},
		{"but not with nohup", false, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p, s := newProcess()
			s.hangupIgnored = tc.ignored
			if tc.early {
				p.chans[syscall.SIGHUP] <- syscall.SIGHUP
				require.Eventually(t, func() bool { s.mu.Lock(); defer s.mu.Unlock(); return s.hungUp }, 5*time.Second, time.Millisecond)
				require.NoError(t, s.Context().Err())
			}
			s.EndOnHangup()
			if !tc.early {
				s.receive(syscall.SIGHUP, s.hangup)
			}
			require.Equal(t, !tc.ignored, s.Context().Err() != nil)
		})
	}
}
