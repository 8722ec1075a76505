package fleet

import (
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of a plot.
const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 11 * vg.Centimeter
	// plotPoints bounds the points of one curve.
	plotPoints = 500
)

// PlotConvergence draws, for the fleet and its baselines, which share of the
// (change, node) pairs converged within a time. The suffix of path picks the
// format, such as .png or .svg.
func (r *Report) PlotConvergence(path string) error {
	drawing := plot.New()
	drawing.Title.Text = "Time until a change is in force"
	drawing.X.Label.Text = "seconds"
	drawing.Y.Label.Text = "share of (change, node) pairs"
	curves := []any{"winchhead", shares(r.delays)}
	for i := range r.Baselines {
		curves = append(curves, r.Baselines[i].Strategy, shares(r.Baselines[i].delays))
	}
	if err := plotutil.AddLines(drawing, curves...); err != nil {
		return eris.Wrap(err, "plot convergence")
	}
	drawing.Legend.Top = false
	return eris.Wrap(drawing.Save(plotWidth, plotHeight, path), "plot convergence")
}

// PlotBytes draws the control bytes of a node over time.
func (r *Report) PlotBytes(path string) error {
	drawing := plot.New()
	drawing.Title.Text = "Control bytes of a node"
	drawing.X.Label.Text = "seconds since the start"
	drawing.Y.Label.Text = "bytes per second"
	points := make(plotter.XYs, len(r.Timeline))
	for i, point := range r.Timeline {
		points[i] = plotter.XY{X: point.SinceStart.Seconds(), Y: point.BytesPerNodePerSecond}
	}
	if err := plotutil.AddLines(drawing, points); err != nil {
		return eris.Wrap(err, "plot bytes")
	}
	return eris.Wrap(drawing.Save(plotWidth, plotHeight, path), "plot bytes")
}

// shares is the cumulative distribution of delays.
func shares(delays []time.Duration) plotter.XYs {
	sorted := slices.Sorted(slices.Values(delays))
	step := max(len(sorted)/plotPoints, 1)
	points := plotter.XYs{{X: 0, Y: 0}}
	for i := step - 1; i < len(sorted); i += step {
		points = append(points, plotter.XY{X: sorted[i].Seconds(), Y: float64(i+1) / float64(len(sorted))})
	}
	return points
}
