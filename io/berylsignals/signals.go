// Package berylsignals receives the signals of the process.
package berylsignals

import (
	"context"
	"os"
	"os/signal"
	"sync"
	"syscall"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"
)

// Signals receives signals from its creation until the process exits, so that their default
// action never ends the process in between. SIGQUIT, SIGABRT and what cannot be received keep
// their default action. It is safe for concurrent use.
type Signals struct {
	notify        func(c chan<- os.Signal, sig ...os.Signal)
	ignore        func(sig ...os.Signal)
	hangupIgnored bool // since before the start of the process, as with nohup
	ctx           context.Context
	cancel        context.CancelFunc
	reloads       chan struct{}
	stops         chan os.Signal
	others        chan os.Signal

	mu             sync.Mutex
	state          state
	acceptsReloads bool
	hungUp         bool
	endsOnHangup   bool
	log            *zerolog.Logger // nil before Daemon
	unlogged       []event
}

// state is what the process does when it receives a signal.
type state string

const (
	starting state = "starting"
	serving  state = "serving"
	stopping state = "stopping"
)

// Actions on a signal.
const (
	actionStop   = "stop"
	actionReload = "reload settings"
	actionNone   = "none"
)

type event struct {
	signal os.Signal
	state  state
	action string
}

const (
	signalBuffer = 32
	maxUnlogged  = 32 // events before Daemon
)

// Handlers sets the functions that have signals delivered and ignored, signal.Notify and
// signal.Ignore by default.
func Handlers(notify func(c chan<- os.Signal, sig ...os.Signal), ignore func(sig ...os.Signal)) func(*Signals) {
	return func(s *Signals) { s.notify, s.ignore = notify, ignore }
}

// New begins to receive signals.
func New(opts ...func(*Signals)) *Signals {
	s := &Signals{
		notify:        signal.Notify,
		ignore:        signal.Ignore,
		hangupIgnored: signal.Ignored(syscall.SIGHUP),
		reloads:       make(chan struct{}, 1),
		// Separate channels, so that a series of others never displaces a stop.
		stops:  make(chan os.Signal, 1),
		others: make(chan os.Signal, signalBuffer),
		state:  starting,
	}
	for _, o := range opts {
		o(s)
	}
	s.notify(s.stops, syscall.SIGINT, syscall.SIGTERM)
	s.notify(s.others, syscall.SIGHUP)
	s.ctx, s.cancel = context.WithCancel(context.Background())
	go s.run()
	return s
}

func (s *Signals) run() {
	for {
		select {
		case sig := <-s.stops:
			s.receive(sig, s.stop)
		case sig := <-s.others:
			s.receive(sig, s.hangup)
		}
	}
}

// Context returns a context that ends with the first SIGINT or SIGTERM.
func (s *Signals) Context() context.Context { return s.ctx }

// EndOnHangup makes SIGHUP end the context, too, as commands on a terminal do. It is for
// commands that are no daemons.
func (s *Signals) EndOnHangup() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endsOnHangup = !s.hangupIgnored
	if s.hungUp && s.endsOnHangup {
		s.cancel()
	}
}

// Daemon writes a log line for every signal, those received before included. Signals that ask
// a daemon for nothing are received too, and SIGPIPE is ignored. Commands that are no daemons end by it
// when their output is closed.
func (s *Signals) Daemon(log zerolog.Logger) {
	s.notify(s.others, syscall.SIGUSR1, syscall.SIGUSR2, syscall.SIGALRM, syscall.SIGVTALRM, syscall.SIGXCPU,
		syscall.SIGXFSZ, syscall.SIGIO, syscall.SIGPWR, syscall.SIGCONT)
	// Otherwise a log line that nobody reads any more would end the process.
	s.ignore(syscall.SIGPIPE)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log = &log
	for _, e := range s.unlogged {
		s.write(e)
	}
	s.unlogged = nil
}

// Reloads returns a channel that receives a value after each SIGHUP that comes from now on
// and before the process stops. Without it SIGHUP does nothing. Several signals may lead to
// one value.
func (s *Signals) Reloads() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.acceptsReloads = true
	return s.reloads
}

// Serving tells that the process has started.
func (s *Signals) Serving() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state == starting {
		s.state = serving
	}
}

// Stopping tells that the process stops for a reason other than a signal.
func (s *Signals) Stopping() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = stopping
}

// receive acts on a signal and logs what it did. Act returns the action.
func (s *Signals) receive(sig os.Signal, act func(os.Signal) string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := event{signal: sig, state: s.state}
	e.action = act(sig)
	if s.log != nil {
		s.write(e)
		return
	}
	if len(s.unlogged) < maxUnlogged {
		s.unlogged = append(s.unlogged, e)
	}
}

func (s *Signals) stop(os.Signal) string {
	if s.state == stopping {
		return actionNone
	}
	s.state = stopping
	s.cancel()
	return actionStop
}

func (s *Signals) hangup(sig os.Signal) string {
	if sig != syscall.SIGHUP || s.state == stopping {
		return actionNone
	}
	s.hungUp = true
	if s.endsOnHangup {
		return s.stop(sig)
	}
	if !s.acceptsReloads {
		return actionNone
	}
	select {
	case s.reloads <- struct{}{}:
	default: // The one before was not taken yet, and the settings are read after it.
	}
	return actionReload
}

func (s *Signals) write(e event) {
	name := e.signal.String()
	if n, ok := e.signal.(syscall.Signal); ok {
		name = unix.SignalName(n)
	}
	s.log.Info().Str("signal", name).Str("state", string(e.state)).Str("action", e.action).Msg("signal")
}
