package report

import (
	"gonum.org/v1/plot/plotter"
)

// Line is one point of a named series.
type Line struct {
	// Series the point belongs to.
	Series string
	// X and Y are its coordinates.
	X, Y float64
}

// PlotLines draws each series as a line and returns the plot as SVG.
func PlotLines(title, x, y string, points []Line) ([]byte, error) {
	p := newPlot(title, x, y)
	p.Y.Min = 0
	var names []string
	series := make(map[string]plotter.XYs)
	for _, point := range points {
		if series[point.Series] == nil {
			names = append(names, point.Series)
		}
		series[point.Series] = append(series[point.Series], plotter.XY{X: point.X, Y: point.Y})
	}
	for i, name := range names {
		if err := addLine(p, name, series[name], colorAt(i)); err != nil {
			return nil, err
		}
	}
	leaveRoom(p)
	text, err := svg(p)
	return []byte(text), err
}
