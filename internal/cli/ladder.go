package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"runtime"
	"text/tabwriter"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"basilrudder/internal/catalog"
	"basilrudder/internal/inventory"
	"basilrudder/internal/replay"
	"basilrudder/internal/report"
	"basilrudder/internal/sched"
	schema "basilrudder/internal/schema/inventory"
	schematrace "basilrudder/internal/schema/trace"
	"basilrudder/internal/trace"
)

// ladderLoads are the loads to replay, as multiples of the engines' capacity. Printed loads
// have one decimal; finer steps would look alike in the table.
var ladderLoads = []float64{0.5, 0.8, 1, 1.2, 1.5, 2, 3}

// LadderCmd replays one mix of requests at each of ladderLoads under every policy.
type LadderCmd struct {
	Deployment string  `required:"" type:"path" placeholder:"DIR" help:"Inventory to run."`
	Mix        string  `required:"" enum:"chikushi,kivu" help:"Mix of requests: chikushi or kivu."`
	Seconds    float64 `default:"120" help:"Length of each replay in virtual seconds."`
	Burst      float64 `default:"1" help:"Load in a burst against the mean."`
	Seed       uint64  `default:"1" help:"Seed of every random choice."`
	JSON       bool    `name:"json" help:"Write JSON instead of a table."`
	SVG        string  `name:"svg" type:"path" placeholder:"FILE" help:"Also write a plot."`
}

// LadderPoint is the result of one replay, at one load under one policy.
type LadderPoint struct {
	// Policy is the name of the scheduling policy.
	Policy string `json:"policy"`
	// Load is a multiple of the engines' capacity.
	Load float64 `json:"load"`
	// TopTier is the attainment of tier 0.
	TopTier float64 `json:"top_tier"`
	// Worst is the lowest attainment of any class, and WorstClass its name.
	Worst      float64 `json:"worst"`
	WorstClass string  `json:"worst_class"`
	// Goodput is the number of answers on time per second, TokensPerS that of their tokens.
	Goodput    float64 `json:"goodput"`
	TokensPerS float64 `json:"tokens_per_s"`
	// WastedWork and LateWork are shares of the engines' work, from 0 to 1.
	WastedWork float64 `json:"wasted_work"`
	LateWork   float64 `json:"late_work"`
	// Violations is the number of violations of all promises.
	Violations int `json:"violations"`
}

// Run replays every load under every policy and prints the results.
func (c *LadderCmd) Run(streams *Streams) error {
	inv, problems := inventory.LoadDir(c.Deployment)
	if len(problems) > 0 {
		return problems
	}
	rungs, err := c.replayAll(inv)
	if err != nil {
		return err
	}
	if c.SVG != "" {
		if err := c.plot(rungs); err != nil {
			return err
		}
	}
	if c.JSON {
		return writeJSON(streams.Out, rungs)
	}
	return printLadder(streams.Out, rungs)
}

// replayAll runs the replays concurrently, on at most half of GOMAXPROCS. Each replay is
// deterministic by itself, so concurrency does not change the results.
func (c *LadderCmd) replayAll(inv *schema.Inventory) ([]LadderPoint, error) {
	names := sched.Policies()
	rungs := make([]LadderPoint, len(ladderLoads)*len(names))
	var group errgroup.Group
	group.SetLimit(max(runtime.GOMAXPROCS(0)/2, 1))
	for i, load := range ladderLoads {
		for j, policy := range names {
			group.Go(func() error {
				rung, err := c.replayOne(inv, load, policy)
				rungs[j*len(ladderLoads)+i] = rung
				return err
			})
		}
	}
	return rungs, group.Wait()
}

func (c *LadderCmd) replayOne(inv *schema.Inventory, load float64, policy sched.Policy) (LadderPoint, error) {
	line, err := json.Marshal(schematrace.Line{
		Generate: c.Mix, Seed: int(c.Seed), ForMS: c.Seconds * 1000, Load: load, Burst: c.Burst,
	})
	if err != nil {
		return LadderPoint{}, err
	}
	tr, err := trace.Read("ladder", bytes.NewReader(line), catalog.Compile(1, inv))
	if err != nil {
		return LadderPoint{}, err
	}
	result, err := replay.Run(context.Background(), replay.Config{Inventory: inv, Trace: tr, Policy: policy, Seed: c.Seed})
	if err != nil {
		return LadderPoint{}, errors.Wrapf(err, "load %v, policy %s", load, policy.Name)
	}
	return newLadderPoint(load, result), nil
}

func newLadderPoint(load float64, r *replay.Result) LadderPoint {
	out := LadderPoint{
		Policy: r.Policy, Load: load, Worst: 1, Goodput: r.Goodput, TokensPerS: r.TokensPerS,
		WastedWork: r.WastedWork, LateWork: r.LateWork,
	}
	if top := r.Tiers[0]; top != nil {
		out.TopTier = top.Attainment
	}
	for _, name := range sortedKeys(r.Classes) {
		if a := r.Classes[name].Attainment; a <= out.Worst {
			out.Worst, out.WorstClass = a, name
		}
	}
	for _, count := range r.Violations {
		out.Violations += count
	}
	return out
}

func printLadder(out io.Writer, rungs []LadderPoint) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(w, "policy\tload\ttop tier\tgoodput/s\ttokens/s\twaste\tlate work\tworst class\t\tviolations\t\n")
	for _, r := range rungs {
		fmt.Fprintf(w, "%s\t%.1f\t%.2f%%\t%.2f\t%.0f\t%.2f%%\t%.2f%%\t%s\t%.2f%%\t%d\t\n",
			r.Policy, r.Load, 100*r.TopTier, r.Goodput, r.TokensPerS, 100*r.WastedWork, 100*r.LateWork,
			r.WorstClass, 100*r.Worst, r.Violations)
	}
	return w.Flush()
}

func (c *LadderCmd) plot(rungs []LadderPoint) error {
	var lines []report.Line
	for _, r := range rungs {
		lines = append(lines, report.Line{Series: r.Policy, X: r.Load, Y: r.Goodput})
	}
	svg, err := report.PlotLines("Goodput by load", "load against capacity", "answers on time per second", lines)
	if err != nil {
		return err
	}
	const readable = 0o644
	return os.WriteFile(c.SVG, svg, readable)
}
