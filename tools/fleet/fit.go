package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
)

// Sizes of the target.
const (
	targetDaemons   = 360
	targetServers   = 600
	targetCustomers = 27_000
	targetEngines   = targetServers * enginesPerServer
	targetRequests  = 4_300
	targetTokenRate = 1.3e6
)

// fitCmd fits the slopes.
type fitCmd struct {
	In  string `default:"docs/data/fleet.json" type:"path" help:"Results of matrix."`
	Out string `default:"docs/data/slopes.json" type:"path" help:"Write the slopes to this file, as JSON."`
}

// fitted is one slope.
type fitted struct {
	// Figure and Unit name what was measured; Per is the size it grows with.
	Figure string  `json:"figure"`
	Unit   string  `json:"unit"`
	Per    string  `json:"per"`
	Points []point `json:"points"`
	line
	// Target is the size at the target, and AtTarget the line's value there.
	Target   float64 `json:"target"`
	AtTarget float64 `json:"at_target"`
}

// series says what to fit.
type series struct {
	figure, unit string
	axis         axis
	y            func(*measurement) float64
}

// axis is a size that was varied while the others stayed at their base.
type axis struct {
	name   string
	target float64
	x      func(*measurement) float64
	holds  func(*measurement) bool
}

func isBase(m *measurement, but string) bool {
	return (but == "daemons" || m.Daemons == baseDaemons) &&
		(but == "customers" || m.Shape.Customers == baseCustomers) &&
		(but == "servers" || m.Shape.Servers == baseServers) &&
		(but == "rate" || m.Load.PerDaemon == baseRate) &&
		(but == "tokens" || m.Load.Tokens == baseTokens) &&
		m.Shape.StepMS == baseStepMS
}

func axisOf(name string, target float64, x func(*measurement) float64) axis {
	return axis{name: name, target: target, x: x, holds: func(m *measurement) bool { return isBase(m, name) }}
}

var (
	byDaemons   = axisOf("daemons", targetDaemons, func(m *measurement) float64 { return float64(m.Daemons) })
	byCustomers = axisOf("customers", targetCustomers, func(m *measurement) float64 { return float64(m.Shape.Customers) })
	byServers   = axisOf("servers", targetServers, func(m *measurement) float64 { return float64(m.Shape.Servers) })
	byRate      = axisOf("rate", float64(targetRequests)/targetDaemons, func(m *measurement) float64 { return m.Load.PerDaemon })
	// The streams of one daemon that are open at once.
	byHeld = axis{
		name: "streams held", target: float64(targetRequests) / targetDaemons * targetTokens * 0.036,
		x:     func(m *measurement) float64 { return m.heldStreams() },
		holds: func(m *measurement) bool { return isBase(m, "tokens") },
	}
	byEngines = axis{
		name: "engines per daemon", target: float64(targetEngines) / targetDaemons,
		x: func(m *measurement) float64 {
			return float64(m.Shape.Servers*enginesPerServer) / float64(m.Daemons)
		},
		holds: func(m *measurement) bool {
			return (isBase(m, "daemons") || isBase(m, "servers"))
		},
	}
)

func (m *measurement) heldStreams() float64 {
	const second = 1000
	return m.Load.PerDaemon * (1 - serviceShare) * float64(m.Load.Tokens) * m.Shape.StepMS / second
}

func kindsOf(w window, kinds ...string) float64 {
	var sum float64
	for _, kind := range kinds {
		sum += w.KindsIn[kind] + w.KindsOut[kind]
	}
	return sum
}

// slopes lists what is fitted.
func slopes() []series {
	return []series{
		{"links, idle", "B/s", byDaemons, func(m *measurement) float64 { return m.Idle.Bytes.Mean }},
		{"links, idle", "B/s", byCustomers, func(m *measurement) float64 { return m.Idle.Bytes.Mean }},
		{"links, idle", "B/s", byServers, func(m *measurement) float64 { return m.Idle.Bytes.Mean }},
		{"links, loaded", "B/s", byDaemons, func(m *measurement) float64 { return m.Loaded.Bytes.Mean }},
		{"links, loaded", "B/s", byCustomers, func(m *measurement) float64 { return m.Loaded.Bytes.Mean }},
		{"links, loaded", "B/s", byServers, func(m *measurement) float64 { return m.Loaded.Bytes.Mean }},
		{"links, loaded", "B/s", byRate, func(m *measurement) float64 { return m.Loaded.Bytes.Mean }},
		{"asking for slots", "B/s", byRate, func(m *measurement) float64 {
			return kindsOf(m.Loaded, "acquire", "grant", "release", "refuse", "withdraw")
		}},
		{"asking for slots", "B/s", byDaemons, func(m *measurement) float64 {
			return kindsOf(m.Loaded, "acquire", "grant", "release", "refuse", "withdraw")
		}},
		{"renewing slots", "B/s", byHeld, func(m *measurement) float64 { return kindsOf(m.Loaded, "progress") }},
		{"customers' limits", "B/s", byCustomers, func(m *measurement) float64 { return kindsOf(m.Loaded, "permit_ask", "permit_give") }},
		{"customers' limits", "B/s", byRate, func(m *measurement) float64 { return kindsOf(m.Loaded, "permit_ask", "permit_give") }},
		{"customers' limits", "B/s", byDaemons, func(m *measurement) float64 { return kindsOf(m.Loaded, "permit_ask", "permit_give") }},
		{"heartbeats and members", "B/s", byDaemons, func(m *measurement) float64 {
			return kindsOf(m.Idle, "ping", "pong", "members", "member_sync", "framing", "hello")
		}},
		{"configuration, unchanged", "B/s", byDaemons, func(m *measurement) float64 {
			return kindsOf(m.Idle, "config_offer", "config_want", "config_part")
		}},
		{"engines asked, idle", "B/s", byEngines, func(m *measurement) float64 { return m.Idle.EngineBytes.Mean }},
		{"engines asked, loaded", "B/s", byEngines, func(m *measurement) float64 { return m.Loaded.EngineBytes.Mean }},
		{"CPU, idle", "% of a core", byDaemons, func(m *measurement) float64 { return m.Idle.CPU.Mean }},
		{"CPU, idle", "% of a core", byCustomers, func(m *measurement) float64 { return m.Idle.CPU.Mean }},
		{"CPU, idle", "% of a core", byEngines, func(m *measurement) float64 { return m.Idle.CPU.Mean }},
		{"CPU, all work", "% of a core", byRate, func(m *measurement) float64 { return m.Loaded.CPU.Mean }},
		{"CPU, all work", "% of a core", byDaemons, func(m *measurement) float64 { return m.Loaded.CPU.Mean }},
		{"CPU, all work", "% of a core", byHeld, func(m *measurement) float64 { return m.Loaded.CPU.Mean }},
		{"live heap, idle", "MB", byCustomers, func(m *measurement) float64 { return m.Idle.LiveHeap.Mean }},
		{"live heap, idle", "MB", byServers, func(m *measurement) float64 { return m.Idle.LiveHeap.Mean }},
		{"live heap, idle", "MB", byDaemons, func(m *measurement) float64 { return m.Idle.LiveHeap.Mean }},
		{"resident, after changes", "MB", byCustomers, func(m *measurement) float64 { return m.Changed.RSS.Mean }},
		{"resident, after changes", "MB", byServers, func(m *measurement) float64 { return m.Changed.RSS.Mean }},
		{"resident, after changes", "MB", byDaemons, func(m *measurement) float64 { return m.Changed.RSS.Mean }},
		{"resident, peak", "MB", byCustomers, func(m *measurement) float64 { return m.Loaded.PeakRSS.Mean }},
		{"resident, loaded", "MB", byHeld, func(m *measurement) float64 { return m.Loaded.RSS.Mean }},
		{"CPU of a change", "ms", byCustomers, func(m *measurement) float64 { return m.Changes.CPUMSPerChange }},
		{"CPU of a change", "ms", byServers, func(m *measurement) float64 { return m.Changes.CPUMSPerChange }},
		{"bytes of a change", "B", byDaemons, func(m *measurement) float64 { return m.Changes.BytesPerChange }},
		{"change in force everywhere", "ms", byDaemons, func(m *measurement) float64 { return slices.Max(m.Changes.LastMS) }},
		{"change in force everywhere", "ms", byCustomers, func(m *measurement) float64 { return slices.Max(m.Changes.LastMS) }},
		{"change in force everywhere", "ms", byServers, func(m *measurement) float64 { return slices.Max(m.Changes.LastMS) }},
		{"platform calls, unchanged, all", "1/s", byDaemons, func(m *measurement) float64 { return m.Idle.PlatformCallsPerS }},
		{"platform calls of a change, all", "", byDaemons, func(m *measurement) float64 { return m.Changes.PlatformCallsPerChange }},
		{"killed daemon noticed by all", "s", byDaemons, func(m *measurement) float64 { return m.Notice.KilledS }},
		{"silent daemon noticed by all", "s", byDaemons, func(m *measurement) float64 { return m.Notice.StoppedS }},
		{"bytes of a death", "B", byDaemons, func(m *measurement) float64 { return m.Notice.KilledBytes }},
		{"published inventory", "B", byCustomers, func(m *measurement) float64 { return float64(m.PublishedBytes) }},
		{"published inventory", "B", byServers, func(m *measurement) float64 { return float64(m.PublishedBytes) }},
		{"platform calls of a start, all", "", byDaemons, func(m *measurement) float64 { return float64(m.StartCalls) }},
		{"platform calls of a start, all", "", byCustomers, func(m *measurement) float64 { return float64(m.StartCalls) }},
		{"start of all until ready", "s", byDaemons, func(m *measurement) float64 { return m.ReadyS }},
		{"start of all until ready", "s", byCustomers, func(m *measurement) float64 { return m.ReadyS }},
	}
}

// Run fits, prints a table and writes the slopes.
func (c *fitCmd) Run() error {
	data, err := os.ReadFile(c.In)
	if err != nil {
		return err
	}
	var measured []*measurement
	if err := json.Unmarshal(data, &measured); err != nil {
		return err
	}
	var out []fitted
	for _, s := range slopes() {
		f, err := s.fit(measured)
		if err != nil {
			fmt.Fprintf(os.Stderr, "%s by %s: %v\n", s.figure, s.axis.name, err)
			continue
		}
		f.print(os.Stdout)
		out = append(out, f)
	}
	return writeJSON(c.Out, out)
}

func (s series) fit(measured []*measurement) (fitted, error) {
	out := fitted{Figure: s.figure, Unit: s.unit, Per: s.axis.name, Target: s.axis.target}
	for _, m := range measured {
		// Figures that an older driver did not take are 0.
		if s.axis.holds(m) && s.y(m) != 0 {
			out.Points = append(out.Points, point{s.axis.x(m), s.y(m)})
		}
	}
	slices.SortFunc(out.Points, func(a, b point) int {
		switch {
		case a.X < b.X:
			return -1
		case a.X > b.X:
			return 1
		}
		return 0
	})
	var err error
	out.line, err = fitLine(out.Points)
	out.AtTarget = out.at(s.axis.target)
	return out, err
}

func (f fitted) print(w io.Writer) {
	fmt.Fprintf(w, "%-32s %-11s by %-18s %10.3f + %.5f (± %.5f) x; largest residual %.3f; at %.6g: %.3f; points",
		f.Figure, f.Unit, f.Per, f.Intercept, f.Slope, f.SlopeError, f.Worst, f.Target, f.AtTarget)
	for _, p := range f.Points {
		fmt.Fprintf(w, " %.4g:%.4g", p.X, p.Y)
	}
	fmt.Fprintln(w)
}
