// Package chart draws the results of experiments as line charts.
package chart

import (
	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Series is one named line.
type Series struct {
	Name string
	X, Y []float64
}

// Lines is a line chart whose lines share the axes.
type Lines struct {
	Title, XLabel, YLabel string
	Series                []Series
}

// The size of a chart.
const (
	width  = 16 * vg.Centimeter
	height = 10 * vg.Centimeter
)

// Save writes the chart to a file. The file name extension, such as .png or .svg,
// selects the format.
func (l Lines) Save(file string) error {
	drawing := plot.New()
	drawing.Title.Text = l.Title
	drawing.X.Label.Text = l.XLabel
	drawing.Y.Label.Text = l.YLabel
	drawing.Y.Min = 0
	drawing.Legend.Top = true
	drawing.Legend.Left = true
	var lines []any
	for _, series := range l.Series {
		points := make(plotter.XYs, len(series.X))
		for i := range points {
			points[i].X, points[i].Y = series.X[i], series.Y[i]
		}
		lines = append(lines, series.Name, points)
	}
	if err := plotutil.AddLinePoints(drawing, lines...); err != nil {
		return eris.Wrap(err, "draw the chart")
	}
	return eris.Wrapf(drawing.Save(width, height, file), "save chart %s", file)
}
