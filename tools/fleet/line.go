package main

import (
	"math"

	"github.com/go-faster/errors"
)

// point is one measured pair.
type point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// line is a straight line through points by least squares.
type line struct {
	Intercept float64 `json:"intercept"`
	Slope     float64 `json:"slope"`
	// SlopeError is the standard error of the slope; 0 for two points, which
	// leave nothing to judge it by.
	SlopeError float64 `json:"slope_standard_error"`
	// Worst is the largest distance of a point from the line, in units of Y.
	Worst float64 `json:"largest_residual"`
}

// fitLine needs two points of different X.
func fitLine(points []point) (line, error) {
	n := float64(len(points))
	var meanX, meanY float64
	for _, p := range points {
		meanX += p.X / n
		meanY += p.Y / n
	}
	var xx, xy float64
	for _, p := range points {
		xx += (p.X - meanX) * (p.X - meanX)
		xy += (p.X - meanX) * (p.Y - meanY)
	}
	if xx == 0 {
		return line{}, errors.Errorf("%d points leave the slope open", len(points))
	}
	l := line{Slope: xy / xx}
	l.Intercept = meanY - l.Slope*meanX
	var squares float64
	for _, p := range points {
		residual := p.Y - l.at(p.X)
		squares += residual * residual
		l.Worst = max(l.Worst, math.Abs(residual))
	}
	const free = 2 // parameters of the line
	if len(points) > free {
		l.SlopeError = math.Sqrt(squares / (n - free) / xx)
	}
	return l, nil
}

func (l line) at(x float64) float64 {
	return l.Intercept + l.Slope*x
}
