package berylexperiment

import (
	"io"

	"berylspan/core/berylsimulation"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	width  = 20 * vg.Centimeter
	height = 10 * vg.Centimeter
)

// draw plots the worth earned in each second, a line for each policy.
func draw(out io.Writer, results []*berylsimulation.Result) error {
	p := plot.New()
	p.Title.Text = results[0].Scenario
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "part of the worth earned"
	p.Y.Min, p.Y.Max = 0, 1
	for i, r := range results {
		xy := make(plotter.XYs, len(r.BySecond))
		for n, t := range r.BySecond {
			xy[n].X, xy[n].Y = float64(n), t.EarnedFraction()
		}
		line, err := plotter.NewLine(xy)
		if err != nil {
			return eris.Wrap(err, "plot")
		}
		line.Color, line.Dashes = plotutil.Color(i), plotutil.Dashes(i)
		p.Add(line)
		p.Legend.Add(r.Policy, line)
	}
	w, err := p.WriterTo(width, height, "svg")
	if err != nil {
		return eris.Wrap(err, "plot")
	}
	_, err = w.WriteTo(out)
	return eris.Wrap(err, "plot")
}
