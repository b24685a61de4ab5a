package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// matrixCmd measures the fleets from which the slopes are fitted: one size is
// varied at a time.
type matrixCmd struct {
	Window time.Duration `default:"12s" help:"Length of each measured window."`
	Procs  int           `default:"2" help:"GOMAXPROCS of each daemon."`
	Out    string        `default:"docs/data/fleet.json" type:"path" help:"Write the results to this file, as JSON."`
	Quick  bool          `help:"Measure the small fleets only."`
}

// Sizes that stay as they are while another one is varied.
const (
	baseDaemons   = 16
	baseCustomers = 1000
	baseServers   = 100
	baseRate      = 6
	baseStepMS    = 250
	baseTokens    = 20
	// targetRate, targetTokens and targetStepMS are the load of one daemon at
	// the target: 4,300 requests and 1.3 million tokens a second over 360.
	targetRate   = 12
	targetTokens = 300
	targetStepMS = 8
	quickDaemons = 16
)

// cells returns what to measure.
func (c *matrixCmd) cells() []measureCmd {
	base := measureCmd{
		Daemons: baseDaemons, Customers: baseCustomers, Servers: baseServers,
		Rate: baseRate, StepMS: baseStepMS, Tokens: baseTokens, Window: c.Window, Procs: c.Procs,
	}
	var out []measureCmd
	add := func(change func(*measureCmd)) {
		cell := base
		change(&cell)
		if !c.Quick || cell.Daemons <= quickDaemons {
			out = append(out, cell)
		}
	}
	for _, daemons := range []int{8, 16, 32, 64, 128} {
		add(func(m *measureCmd) { m.Daemons = daemons })
	}
	for _, customers := range []int{10, 10_000, 27_000} {
		add(func(m *measureCmd) { m.Customers = customers })
	}
	for _, servers := range []int{18, 300, 600} {
		add(func(m *measureCmd) { m.Servers = servers })
	}
	for _, rate := range []float64{1, 12} {
		add(func(m *measureCmd) { m.Rate = rate })
	}
	add(func(m *measureCmd) { m.Tokens = 2 * baseTokens })
	add(func(m *measureCmd) {
		m.Daemons, m.Rate, m.Tokens, m.StepMS = 8, targetRate, targetTokens, targetStepMS
	})
	add(func(m *measureCmd) { m.Daemons, m.Customers, m.Servers = 48, 27_000, 600 })
	return out
}

// Run measures every fleet and writes the results after each, so that an
// interrupted run keeps what it has.
func (c *matrixCmd) Run(ctx context.Context) error {
	if err := os.MkdirAll(filepath.Dir(c.Out), 0o755); err != nil {
		return err
	}
	var results []*measurement
	printHeader(os.Stdout)
	for _, cell := range c.cells() {
		m, err := cell.measure(ctx)
		if err != nil {
			fmt.Printf("%d daemons, %d customers, %d servers: %v\n", cell.Daemons, cell.Customers, cell.Servers, err)
			if ctx.Err() != nil {
				return err
			}
			continue
		}
		m.print(os.Stdout)
		results = append(results, m)
		if err := writeJSON(c.Out, results); err != nil {
			return err
		}
	}
	return nil
}
