package berylapp

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/url"
	"os"
	"runtime/debug"
	"slices"
	"strings"
	"syscall"
	"time"

	"berylspan/core/berylconfig"
	"berylspan/core/berylexplanation"
	"berylspan/io/beryldaemon"
	"berylspan/io/beryldemo"
	"berylspan/io/beryllog"
	"berylspan/io/berylmemory"
	"berylspan/io/berylsettings"

	"github.com/rs/zerolog"
)

// gcPercent trades a little processor time for memory: a daemon shares its
// instance with the backend server.
const gcPercent = 30

func (a *App) serve(ctx context.Context, args []string) int {
	fs := a.flags("serve", "-settings FILE")
	path := fs.String("settings", "berylspan.json", "settings file")
	if code, done := parse(fs, args); done {
		return code
	}
	set, err := berylsettings.Load(*path)
	if err != nil {
		a.complain("%v", err)
		return Findings
	}
	debug.SetGCPercent(gcPercent)
	set.Memory = berylmemory.LimitRuntime(set.Memory)
	if set.Sockets == 0 {
		set.Sockets = openFiles()
	}
	out := beryllog.New(a.err)
	defer out.Close()
	log := logger(out, set)
	a.signals.Daemon(log)
	d, err := beryldaemon.New(set, log)
	if err != nil {
		a.complain("%v", err)
		return Findings
	}
	if err := d.Start(ctx); err != nil && !errors.Is(err, context.Canceled) {
		log.Error().Err(err).Msg("not started")
		d.Kill()
		return Failed
	}
	a.signals.Serving()
	code := OK
	select {
	case <-ctx.Done():
	case <-d.Failed():
		a.signals.Stopping()
		log.Error().Msg("stopping after a panic in a part that holds control state")
		code = Failed
	}
	stop, cancel := context.WithTimeout(context.Background(), set.Drain)
	defer cancel()
	if err := d.Stop(stop); err != nil {
		log.Error().Err(err).Msg("calls were cut off")
		return Failed
	}
	log.Info().Msg("stopped")
	return code
}

// openFiles returns how many files and sockets the process may have open, 0 if unknown.
func openFiles() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return 0
	}
	return int(limit.Cur)
}

func logger(w io.Writer, set berylsettings.Settings) zerolog.Logger {
	if set.Format == "text" {
		w = zerolog.ConsoleWriter{Out: w, TimeFormat: time.RFC3339}
	}
	level, err := zerolog.ParseLevel(set.Level)
	if err != nil {
		level = zerolog.InfoLevel
	}
	return zerolog.New(w).Level(level).With().Timestamp().Logger()
}

func (a *App) check(_ context.Context, args []string) int {
	fs := a.flags("check", "[-settings FILE] WORKSPACES PLANS")
	settings := fs.String("settings", "", "settings file to validate too")
	if code, done := parse(fs, args); done {
		return code
	}
	if fs.NArg() != 2 && (fs.NArg() != 0 || *settings == "") {
		fs.Usage()
		return Usage
	}
	code := OK
	if *settings != "" {
		if _, err := berylsettings.Load(*settings); err != nil {
			a.say("%v", err)
			code = Findings
		}
	}
	if fs.NArg() == 0 {
		return code
	}
	return max(code, a.checkLists(fs.Arg(0), fs.Arg(1)))
}

func (a *App) checkLists(workspaces, plans string) int {
	var docs [2][]byte
	for i, path := range []string{workspaces, plans} {
		data, err := os.ReadFile(path) //nolint:gosec // The operator names the file.
		if err != nil {
			a.complain("%v", err)
			return Failed
		}
		docs[i] = data
	}
	cfg, findings := berylconfig.Parse(1, docs[0], docs[1])
	for _, f := range findings {
		f.File = map[string]string{berylconfig.WorkspacesFile: workspaces, berylconfig.PlansFile: plans}[f.File]
		a.say("%s", f)
	}
	if cfg == nil {
		a.say("rejected: %d findings", len(findings))
		return Findings
	}
	a.say("accepted: %d workspaces, %d plans, %d routes, %d data centres",
		len(cfg.Workspaces), len(cfg.Plans), len(cfg.Routes), len(cfg.Zones))
	return OK
}

const explainTimeout = 5 * time.Second

func (a *App) explain(ctx context.Context, args []string) int {
	fs := a.flags("explain", "[flags]")
	local := fs.String("local", "127.0.0.1:8082", "local listener of the daemon")
	call := fs.String("call", "", "id of a refused call (header Beryl-Call)")
	workspace := fs.String("workspace", "", "workspace whose refused calls to show, or of the request with -to")
	to := fs.String("to", "", "HOST/PATH: tell where a request would go now, without sending it (plain HTTP; -local is the first internal port)")
	asJSON := fs.Bool("json", false, "print JSON (with -to)")
	if code, done := parse(fs, args); done {
		return code
	}
	if _, _, err := net.SplitHostPort(*local); err != nil {
		a.complain("-local: %v", err)
		return Usage
	}
	ctx, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	q := url.Values{"call": {*call}, "workspace": {*workspace}}
	if *to != "" {
		q = url.Values{"to": {*to}, "workspace": {*workspace}}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/explain?%s", *local, q.Encode()), http.NoBody)
	if err != nil {
		a.complain("%v", err)
		return Usage
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		a.complain("the daemon does not answer: %v", err)
		return Failed
	}
	defer func() { _ = res.Body.Close() }()
	if *to != "" && !*asJSON && res.StatusCode == http.StatusOK {
		return a.sayExplanation(res.Body)
	}
	if _, err := io.Copy(a.out, res.Body); err != nil {
		a.complain("%v", err)
		return Failed
	}
	return OK
}

// sayExplanation prints what a daemon answered to -to.
func (a *App) sayExplanation(body io.Reader) int {
	var e berylexplanation.Explanation
	if err := json.NewDecoder(body).Decode(&e); err != nil {
		a.complain("the daemon does not explain requests: %v", err)
		return Failed
	}
	a.say("%s", &e)
	return OK
}

func (a *App) demo(ctx context.Context, args []string) int {
	fs := a.flags("demo", "[flags]")
	opt := beryldemo.Options{Out: a.out}
	fs.StringVar(&opt.Case, "case", "huella", "deployment: huella, karri, or http for the plain HTTP path (without -json)")
	fs.StringVar(&opt.Policy, "policy", "full", "off (no control), split (fixed limits, equal split; not for http) or full")
	fs.Uint64Var(&opt.Seed, "seed", 1, "seed of the callers' random choices")
	fs.DurationVar(&opt.For, "for", 20*time.Second, "length of the run")
	fs.StringVar(&opt.Fault, "fault", "none", fmt.Sprintf("faults joined by +: %v; for http: surge, slow, storm, roll, lost; none stands for surge+slow", beryldemo.Faults()))
	fs.BoolVar(&opt.JSON, "json", false, "print one JSON object only")
	if code, done := parse(fs, args); done {
		return code
	}
	run := func() (int, error) { return beryldemo.Run(ctx, opt) }
	if opt.Case == "http" && a.demoHTTP != nil {
		if unused := flagsWithout(fs, "case", "seed", "for", "policy", "fault"); len(unused) > 0 {
			a.complain("demo -case http does not take %s", strings.Join(unused, ", "))
			return Usage
		}
		run = func() (int, error) { return a.demoHTTP(ctx, opt) }
	}
	violations, err := run()
	if err != nil {
		a.complain("%v", err)
		return Failed
	}
	if violations > 0 {
		return Violated
	}
	return OK
}

// flagsWithout returns the flags that were set on the command line, except those named.
func flagsWithout(fs *flag.FlagSet, names ...string) []string {
	var out []string
	fs.Visit(func(f *flag.Flag) {
		if !slices.Contains(names, f.Name) {
			out = append(out, "-"+f.Name)
		}
	})
	return out
}

func (a *App) version(context.Context, []string) int {
	version := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version
	}
	a.say("berylspan %s", version)
	return OK
}
