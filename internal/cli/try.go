package cli

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/go-faster/errors"

	"basilrudder/examples"
	"basilrudder/internal/inventory"
	"basilrudder/internal/report"
	schema "basilrudder/internal/schema/inventory"
	"basilrudder/internal/trial"
)

// tryTimeout bounds the start of the fleet and the load together; the context of a longer
// trial is cancelled.
const tryTimeout = 20 * time.Second

// TryCmd runs a fleet and stand-ins in one process, sends load and prints a report.
type TryCmd struct {
	Deployment string        `type:"path" placeholder:"DIR" help:"Inventory to run; the chikushi example by default. Customers' credentials must be trial-NAME."`
	Instances  int           `default:"4" help:"Daemons to run."`
	For        time.Duration `default:"4s" help:"How long requests arrive."`
	Rate       float64       `default:"40" help:"Requests per second."`
	MaxTokens  int           `default:"48" help:"Longest answer in tokens."`
	Accounting string        `type:"path" placeholder:"FILE" help:"Keep the accounting lines in this file."`
	HTML       string        `name:"html" type:"path" placeholder:"FILE" help:"Also write the report as a page."`
}

// Run starts the fleet, sends the load and prints the report. It returns ErrMissed if no answer
// was complete or any request failed.
func (c *TryCmd) Run(streams *Streams) error {
	inv, err := c.inventory()
	if err != nil {
		return err
	}
	file, err := c.accounting()
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	if c.Accounting == "" {
		defer func() { _ = os.Remove(file.Name()) }()
	}
	ctx, cancel := context.WithTimeout(context.Background(), tryTimeout)
	defer cancel()
	tally, err := c.run(ctx, inv, file, streams)
	if err != nil {
		return err
	}
	fmt.Fprintf(streams.Out, "callers: %d sent, %d answered whole, %d refused before running, %d failed\n\n",
		tally.Sent, tally.Whole, tally.Refused, tally.Failed)
	reporting := ReportCmd{Files: []string{file.Name()}, HTML: c.HTML, Goal: report.DefaultGoal}
	if err := reporting.Run(streams); err != nil {
		return err
	}
	if tally.Whole == 0 || tally.Failed > 0 {
		return errors.Wrapf(ErrMissed, "%d answers, %d failures", tally.Whole, tally.Failed)
	}
	return nil
}

func (c *TryCmd) run(ctx context.Context, inv *schema.Inventory, out *os.File, streams *Streams) (*trial.Tally, error) {
	fleet, err := trial.Start(ctx, trial.Config{Inventory: inv, Instances: c.Instances, Records: out})
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	fmt.Fprintf(streams.Out, "%d daemons, %d model servers, %d application servers, %d customers; %v at %.0f requests/s\n",
		len(fleet.Members), len(fleet.Engines), len(fleet.Apps), len(inv.Customers), c.For, c.Rate)
	load := trial.Load{Inventory: inv, For: c.For, PerSecond: c.Rate, MaxTokens: c.MaxTokens, Seed: 1}
	return load.Run(ctx, fleet)
}

func (c *TryCmd) inventory() (*schema.Inventory, error) {
	files, err := examples.Files(examples.Chikushi)
	if err != nil {
		return nil, err
	}
	inv, problems := inventory.Parse(files)
	if c.Deployment != "" {
		inv, problems = inventory.LoadDir(c.Deployment)
	}
	if len(problems) > 0 {
		return nil, problems
	}
	// A draining instance waits until its last directory answer has expired. No caller of a
	// trial keeps one, so a short TTL only shortens the shutdown.
	inv.Rules.DirectoryTTLS = 1
	return inv, nil
}

func (c *TryCmd) accounting() (*os.File, error) {
	if c.Accounting != "" {
		return os.Create(filepath.Clean(c.Accounting))
	}
	return os.CreateTemp("", "basilrudder-*.jsonl")
}
