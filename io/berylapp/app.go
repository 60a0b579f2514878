// Package berylapp is the command line.
package berylapp

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"

	"berylspan/io/beryldemo"
	"berylspan/io/berylsignals"
)

// App runs one subcommand.
type App struct {
	out      io.Writer
	err      io.Writer
	signals  *berylsignals.Signals
	sidecar  func(signals *berylsignals.Signals, out io.Writer) int
	demoHTTP func(ctx context.Context, opt beryldemo.Options) (violations int, err error)
}

// Exit codes.
const (
	OK       = 0
	Failed   = 1 // the command could not do its work
	Usage    = 2 // the command line is wrong
	Findings = 3 // settings or lists have findings
	Violated = 4 // an invariant was violated
)

// New returns an app that writes results to out and the rest to err. Without Signals it
// receives no signals.
func New(out, err io.Writer, opts ...func(*App)) *App {
	a := &App{out: out, err: err, signals: noSignals()}
	for _, o := range opts {
		o(a)
	}
	return a
}

func noSignals() *berylsignals.Signals {
	return berylsignals.New(berylsignals.Handlers(func(chan<- os.Signal, ...os.Signal) {}, func(...os.Signal) {}))
}

// Signals sets the signals of the process.
func Signals(s *berylsignals.Signals) func(*App) { return func(a *App) { a.signals = s } }

// Sidecar sets what the sidecar command runs.
func Sidecar(run func(signals *berylsignals.Signals, out io.Writer) int) func(*App) {
	return func(a *App) { a.sidecar = run }
}

// DemoHTTP sets what the demo plays with case http.
func DemoHTTP(run func(ctx context.Context, opt beryldemo.Options) (violations int, err error)) func(*App) {
	return func(a *App) { a.demoHTTP = run }
}

type command struct {
	name   string
	text   string
	daemon bool
	run    func(a *App, ctx context.Context, args []string) int
}

func commands() []command {
	return []command{
		{"serve", "run the daemon beside a backend server", true, (*App).serve},
		{"sidecar", "run the daemon beside a plain HTTP backend server, on the platform's settings", true, (*App).runSidecar},
		{"check", "validate the two lists offline", false, (*App).check},
		{"explain", "ask a daemon what is in force and why calls were refused", false, (*App).explain},
		{"demo", "run and measure the main job on embedded stand-ins", false, (*App).demo},
		{"version", "print the version", false, (*App).version},
	}
}

func (a *App) runSidecar(_ context.Context, args []string) int {
	if len(args) > 0 || a.sidecar == nil {
		a.complain("usage: berylspan sidecar")
		return Usage
	}
	return a.sidecar(a.signals, a.out)
}

// Run runs the subcommand that args names and returns the exit code. SIGINT and SIGTERM end
// its context, and SIGHUP that of a subcommand that is no daemon.
func (a *App) Run(args []string) int {
	if len(args) == 0 {
		a.usage()
		return Usage
	}
	for _, c := range commands() {
		if c.name == args[0] {
			if !c.daemon {
				a.signals.EndOnHangup()
			}
			return c.run(a, a.signals.Context(), args[1:])
		}
	}
	if args[0] == "help" || args[0] == "-h" || args[0] == "--help" {
		a.usage()
		return OK
	}
	a.complain("there is no command %q", args[0])
	a.usage()
	return Usage
}

func (a *App) usage() {
	a.complain("usage: berylspan COMMAND [flags]\n\ncommands:")
	for _, c := range commands() {
		a.complain("  %-8s %s", c.name, c.text)
	}
	a.complain("\nexit codes: 0 done, 1 failed, 2 wrong usage, 3 findings, 4 violated invariant")
}

func (a *App) complain(format string, args ...any) {
	_, _ = fmt.Fprintf(a.err, format+"\n", args...)
}

func (a *App) say(format string, args ...any) {
	_, _ = fmt.Fprintf(a.out, format+"\n", args...)
}

// flags returns a flag set that reports to err. Words follows the name of the
// command in the usage text.
func (a *App) flags(name, words string) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(a.err)
	fs.Usage = func() {
		a.complain("usage: berylspan %s %s", name, words)
		fs.PrintDefaults()
	}
	return fs
}

// parse reads the flags; done is true when the command ends with code.
func parse(fs *flag.FlagSet, args []string) (code int, done bool) {
	err := fs.Parse(args)
	switch {
	case err == nil:
		return OK, false
	case errors.Is(err, flag.ErrHelp):
		return OK, true
	}
	return Usage, true
}
