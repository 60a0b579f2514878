package berylexperiment

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"

	"berylspan/core/berylmodel"

	"github.com/rotisserie/eris"
)

// table prints a line for each policy, and how its classes fared.
func table(out io.Writer, results []*berylmodel.Result) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(w, "%s\tworth\tin aim\tlate\trefused\tagain\tfailed\twasted\tworst class\tworst zone\tworst workspace\tby class\n", results[0].Scene)
	for _, r := range results {
		class, classPart := berylmodel.Worst(r.Rules)
		zone, zonePart := berylmodel.Worst(r.Zones)
		space := 1.0
		for _, t := range r.Spaces {
			space = min(space, t.Part())
		}
		_, _ = fmt.Fprintf(w, "%s\t%.3f\t%d\t%d\t%d\t%d\t%d\t%.3f\t%s %.2f\t%s %.2f\t%.2f\t", r.Policy, r.All.Part(), r.All.InAim, r.All.Late, r.All.Refused,
			r.All.Again, r.All.Failed, r.Wasted/max(r.Used, 1), class, classPart, zone, zonePart, space)
		for _, name := range slices.Sorted(maps.Keys(r.Rules)) {
			_, _ = fmt.Fprintf(w, "%s %.2f  ", name, r.Rules[name].Part())
		}
		_, _ = fmt.Fprintln(w)
	}
	return eris.Wrap(w.Flush(), "table") // Flush returns the first error of the writes above.
}
