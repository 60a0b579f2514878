package berylexperiment

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"

	"berylspan/core/berylsimulation"

	"github.com/rotisserie/eris"
)

// table prints a line for each policy, and how its classes fared.
func table(out io.Writer, results []*berylsimulation.Result) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(w, "%s\tworth\tin aim\tlate\trefused\tagain\tfailed\twasted\tworst class\tworst zone\tworst workspace\tby class\n", results[0].Scenario)
	for _, r := range results {
		class, classPart := berylsimulation.Worst(r.ByRule)
		zone, zonePart := berylsimulation.Worst(r.ByZone)
		space := 1.0
		for _, t := range r.ByWorkspace {
			space = min(space, t.EarnedFraction())
		}
		_, _ = fmt.Fprintf(w, "%s\t%.3f\t%d\t%d\t%d\t%d\t%d\t%.3f\t%s %.2f\t%s %.2f\t%.2f\t", r.Policy, r.All.EarnedFraction(), r.All.OnTime, r.All.Late, r.All.Refused,
			r.All.RefusedAgain, r.All.Failed, r.WastedSeconds/max(r.ServerSeconds, 1), class, classPart, zone, zonePart, space)
		for _, name := range slices.Sorted(maps.Keys(r.ByRule)) {
			_, _ = fmt.Fprintf(w, "%s %.2f  ", name, r.ByRule[name].EarnedFraction())
		}
		_, _ = fmt.Fprintln(w)
	}
	return eris.Wrap(w.Flush(), "table") // Flush returns the first error of the writes above.
}
