package report

import (
	"bytes"
	"fmt"
	"image/color"
	"time"

	"github.com/go-faster/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Size of a plot.
const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 7 * vg.Centimeter
	barWidth   = 8 * vg.Millimeter
	lineWidth  = 1.2 * vg.Millimeter / 2
)

// palette holds colours that also differ in lightness, for colour-blind readers.
var palette = []color.Color{
	color.RGBA{R: 0x00, G: 0x72, B: 0xb2, A: 0xff},
	color.RGBA{R: 0xd5, G: 0x5e, B: 0x00, A: 0xff},
	color.RGBA{R: 0x00, G: 0x9e, B: 0x73, A: 0xff},
	color.RGBA{R: 0xcc, G: 0x79, B: 0xa7, A: 0xff},
	color.RGBA{R: 0xe6, G: 0x9f, B: 0x00, A: 0xff},
	color.RGBA{R: 0x56, G: 0xb4, B: 0xe9, A: 0xff},
	color.RGBA{R: 0x55, G: 0x55, B: 0x55, A: 0xff},
}

var goalColor = color.RGBA{R: 0x99, G: 0x99, B: 0x99, A: 0xff}

func colorAt(i int) color.Color {
	return palette[i%len(palette)]
}

func newPlot(title, x, y string) *plot.Plot {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = x
	p.Y.Label.Text = y
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	return p
}

// plotAttainment draws the attainment of each class over time, with the goal.
func plotAttainment(r *Report) (*plot.Plot, error) {
	p := newPlot("Attainment by class", "time (UTC)", "share on time")
	p.Y.Min, p.Y.Max = 0, 1
	p.X.Tick.Marker = plot.TimeTicks{Format: "15:04:05", Time: plot.UTCUnixTime}
	for i, class := range r.Classes {
		points := classPoints(r.Series, class.Name, func(c BucketClass) float64 { return c.Attainment })
		if err := addLine(p, class.Name, points, colorAt(i)); err != nil {
			return nil, err
		}
	}
	goal := plotter.NewFunction(func(float64) float64 { return r.Goal })
	goal.Color = goalColor
	goal.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
	p.Add(goal)
	p.Legend.Add("goal", goal)
	leaveRoom(p)
	return p, nil
}

// plotOutcomes draws the outcomes of the requests over time.
func plotOutcomes(r *Report) (*plot.Plot, error) {
	p := newPlot("Outcomes", "time (UTC)", "requests per second")
	p.Y.Min = 0
	p.X.Tick.Marker = plot.TimeTicks{Format: "15:04:05", Time: plot.UTCUnixTime}
	outcomes := []struct {
		name  string
		count func(Totals) int
	}{
		{"on time", func(t Totals) int { return t.OnTime }},
		{"late", func(t Totals) int { return t.Served - t.OnTime }},
		{"refused", func(t Totals) int { return t.Refused }},
		{"failed", func(t Totals) int { return t.Failed }},
		{"unknown", func(t Totals) int { return t.Unknown }},
	}
	for i, outcome := range outcomes {
		points := make(plotter.XYs, 0, len(r.Series))
		for _, b := range r.Series {
			points = append(points, plotter.XY{X: b.Start, Y: float64(outcome.count(b.Total)) / b.Seconds})
		}
		if err := addLine(p, outcome.name, points, colorAt(i)); err != nil {
			return nil, err
		}
	}
	leaveRoom(p)
	return p, nil
}

// plotTokens draws delivered and wasted tokens of each class.
func plotTokens(r *Report) (*plot.Plot, error) {
	p := newPlot("Tokens by class", "", "tokens")
	p.Y.Min = 0
	var names []string
	var delivered, wasted plotter.Values
	for _, class := range r.Classes {
		names = append(names, class.Name)
		delivered = append(delivered, float64(class.Tokens))
		wasted = append(wasted, float64(class.WastedTokens))
	}
	return p, addBars(p, names, []barSeries{{"delivered", delivered}, {"wasted", wasted}})
}

// plotBurn draws the burn of each class over each window.
func plotBurn(r *Report) (*plot.Plot, error) {
	p := newPlot("Service-level burn", "window", "error budget used, times")
	p.Y.Min = 0
	var names []string
	for _, burn := range r.Burn {
		names = append(names, windowName(burn.WindowS))
	}
	var series []barSeries
	for _, class := range r.Classes {
		var values plotter.Values
		for _, burn := range class.Burn {
			values = append(values, burn.Rate)
		}
		series = append(series, barSeries{class.Name, values})
	}
	return p, addBars(p, names, series)
}

// legendShare is the share of a plot's width kept free for its legend.
const legendShare = 0.2

// leaveRoom extends the axis beyond the data, because the legend is drawn over the plot.
func leaveRoom(p *plot.Plot) {
	p.X.Max += legendShare / (1 - legendShare) * (p.X.Max - p.X.Min)
}

func classPoints(series []Bucket, name string, value func(BucketClass) float64) plotter.XYs {
	var points plotter.XYs
	for _, b := range series {
		for _, c := range b.Classes {
			if c.Name == name {
				points = append(points, plotter.XY{X: b.Start, Y: value(c)})
			}
		}
	}
	return points
}

func addLine(p *plot.Plot, name string, points plotter.XYs, c color.Color) error {
	if len(points) == 0 {
		return nil // the library rejects an empty line
	}
	line, dots, err := plotter.NewLinePoints(points)
	if err != nil {
		return errors.Wrap(err, name)
	}
	line.Color = c
	line.Width = lineWidth
	dots.Color = c
	dots.Shape = draw.CircleGlyph{}
	dots.Radius = lineWidth
	p.Add(line, dots)
	p.Legend.Add(name, line)
	return nil
}

// widthOfBars leaves the space of one bar between groups.
func widthOfBars(groups, perGroup int) vg.Length {
	const usable = 1 - legendShare - 0.1 // the axis and its labels
	return min(barWidth, usable*plotWidth/vg.Length(groups*(perGroup+1)))
}

type barSeries struct {
	name   string
	values plotter.Values
}

func addBars(p *plot.Plot, names []string, series []barSeries) error {
	if len(names) == 0 || len(series) == 0 {
		return nil
	}
	width := widthOfBars(len(names), len(series))
	for i, s := range series {
		bars, err := plotter.NewBarChart(s.values, width)
		if err != nil {
			return errors.Wrap(err, s.name)
		}
		bars.Color = colorAt(i)
		bars.LineStyle.Width = 0
		bars.Offset = width * vg.Length(2*i-len(series)+1) / 2
		p.Add(bars)
		p.Legend.Add(s.name, bars)
	}
	p.NominalX(names...)
	const halfGroup = 0.5
	p.X.Min = -halfGroup
	p.X.Max = float64(len(names)) - halfGroup
	leaveRoom(p)
	return nil
}

// svg draws a plot as an svg element, without the XML prologue, which is not allowed
// inside a page.
func svg(p *plot.Plot) (string, error) {
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return "", err
	}
	start := bytes.Index(out.Bytes(), []byte("<svg"))
	if start < 0 {
		return "", errors.New("the plot holds no svg element")
	}
	return out.String()[start:], nil
}

// windowName shortens a window to its largest unit.
func windowName(seconds int) string {
	d := time.Duration(seconds) * time.Second
	const day = 24 * time.Hour
	switch {
	case d >= 2*day:
		return fmt.Sprintf("%d d", d/day)
	case d >= time.Hour:
		return fmt.Sprintf("%d h", d/time.Hour)
	default:
		return fmt.Sprintf("%d m", d/time.Minute)
	}
}
