// Package berylexperiment plays load patterns on the model with several policies
// side by side and reports what callers got.
package berylexperiment

import (
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"berylspan/core/berylscenario"
	"berylspan/core/berylsimulation"

	"github.com/rotisserie/eris"
)

// Experiment is one run of the tool. Out gets the table, Err complaints.
type Experiment struct {
	Out io.Writer
	Err io.Writer
}

// Exit codes.
const (
	ok     = 0
	failed = 1
	usage  = 2
)

// Run reads the flags and plays what they choose.
func (e Experiment) Run(args []string) int {
	fs := flag.NewFlagSet("experiment", flag.ContinueOnError)
	fs.SetOutput(e.Err)
	pattern := fs.String("pattern", "", "part of the names of the patterns to play; empty: all")
	policies := fs.String("policies", "full,off", "policies to compare: full, unbound, off")
	seed := fs.Uint64("seed", 1, "of the random numbers")
	dir := fs.String("plots", "", "directory for a plot (SVG) of each pattern; empty: none")
	if err := fs.Parse(args); err != nil {
		return usage
	}
	chosen, err := choose(*policies)
	if err != nil {
		e.complain(err)
		return usage
	}
	played := 0
	for _, s := range berylscenario.Patterns() {
		if !strings.Contains(s.Name, *pattern) {
			continue
		}
		played++
		results := make([]*berylsimulation.Result, 0, len(chosen))
		for _, p := range chosen {
			results = append(results, berylsimulation.Run(s, p, *seed))
		}
		if err := table(e.Out, results); err != nil {
			e.complain(err)
			return failed
		}
		if *dir != "" {
			if err := save(*dir, s.Name, results); err != nil {
				e.complain(err)
				return failed
			}
		}
	}
	if played == 0 {
		e.complain(eris.Errorf("no pattern has %q in its name", *pattern))
		return usage
	}
	return ok
}

func (e Experiment) complain(err error) { _, _ = fmt.Fprintln(e.Err, err) }

func choose(names string) ([]berylsimulation.Policy, error) {
	var out []berylsimulation.Policy
	for name := range strings.SplitSeq(names, ",") {
		p, known := berylsimulation.Policies()[name]
		if !known {
			return nil, eris.Errorf("there is no policy %q", name)
		}
		out = append(out, p)
	}
	return out, nil
}

func save(dir, scene string, results []*berylsimulation.Result) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return eris.Wrap(err, "plots")
	}
	f, err := os.Create(filepath.Join(dir, strings.ReplaceAll(scene, "/", "-")+".svg"))
	if err != nil {
		return eris.Wrap(err, "plots")
	}
	if err := draw(f, results); err != nil {
		_ = f.Close() // The first error is told.
		return err
	}
	return eris.Wrap(f.Close(), "plots")
}
