package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"sort"
	"text/tabwriter"

	"github.com/go-faster/errors"

	"basilrudder/internal/catalog"
	"basilrudder/internal/inventory"
	"basilrudder/internal/node"
	"basilrudder/internal/replay"
	"basilrudder/internal/sched"
	schema "basilrudder/internal/schema/inventory"
	"basilrudder/internal/trace"
)

// ReplayCmd replays a trace on a deployment in virtual time.
type ReplayCmd struct {
	Deployment string `required:"" type:"path" placeholder:"DIR" help:"Inventory to run."`
	Trace      string `required:"" type:"path" placeholder:"FILE" help:"Trace to replay (docs/TRACES.md)."`
	Outcomes   string `type:"path" placeholder:"FILE" help:"Outcomes that must come out (TOML)."`
	Policy     string `default:"default" enum:"default,round-robin,least-loaded" help:"Policy that decides: default, round-robin or least-loaded."`
	Owners     string `default:"owner" enum:"owner,independent,shared" help:"Who schedules a group: its owner, or for comparison every instance by itself, with all slots (independent) or its share (shared)."`
	Seed       uint64 `default:"1" help:"Seed of every random choice."`
	Instances  int    `default:"8" help:"Entry instances."`
	Without    string `placeholder:"RULE" help:"Switch one rule of the policy off: affinity, ejection, fairness, floor, headroom, learn, refusal, stragglers, tiers or urgent."`
	JSON       bool   `name:"json" help:"Write JSON instead of a table."`
}

// Run replays the trace, prints the result and checks it. It returns ErrMissed when an outcome
// or a promise was missed.
func (c *ReplayCmd) Run(streams *Streams) error {
	inv, problems := inventory.LoadDir(c.Deployment)
	if len(problems) > 0 {
		return problems
	}
	tr, err := readTrace(c.Trace, inv)
	if err != nil {
		return err
	}
	policy, ok := sched.Named(c.Policy)
	if !ok {
		return errors.Errorf("unknown policy %q", c.Policy)
	}
	if c.Without != "" {
		if policy, ok = policy.Without(c.Without); !ok {
			return errors.Errorf("unknown rule %q", c.Without)
		}
	}
	result, err := replay.Run(context.Background(), replay.Config{
		Inventory: inv,
		Trace:     tr,
		Policy:    policy,
		Ownership: ownerships[c.Owners],
		Instances: c.Instances,
		Seed:      c.Seed,
	})
	if err != nil {
		return errors.Wrap(err, "replay")
	}
	if err := c.print(streams.Out, result); err != nil {
		return err
	}
	return c.check(result)
}

// ownerships maps the values of --owners.
var ownerships = map[string]node.Ownership{
	"owner":       node.Owners,
	"independent": node.Independent,
	"shared":      node.Shared,
}

func readTrace(name string, inv *schema.Inventory) (*trace.Trace, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	return trace.Read(name, file, catalog.Compile(1, inv))
}

// check compares the result with the outcomes file, if given. Every promise must be kept,
// with or without that file.
func (c *ReplayCmd) check(result *replay.Result) error {
	missed := result.Broken()
	if c.Outcomes != "" {
		data, err := os.ReadFile(c.Outcomes)
		if err != nil {
			return err
		}
		outcomes, problems := replay.ParseOutcomes(c.Outcomes, data)
		if len(problems) > 0 {
			return problems
		}
		missed = append(missed, result.Missed(outcomes)...)
	}
	for _, m := range missed {
		fmt.Fprintln(os.Stderr, m)
	}
	if len(missed) > 0 {
		return errors.Wrapf(ErrMissed, "%d", len(missed))
	}
	return nil
}

func (c *ReplayCmd) print(out io.Writer, result *replay.Result) error {
	if c.JSON {
		return writeJSON(out, result)
	}
	return printResult(out, result)
}

func printResult(out io.Writer, r *replay.Result) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(w, "policy %s, seed %d, %.0f s: goodput %.2f/s, %.0f tokens/s, wasted work %.2f%%, late work %.2f%%\n",
		r.Policy, r.Seed, r.Seconds, r.Goodput, r.TokensPerS, 100*r.WastedWork, 100*r.LateWork)
	for _, part := range []struct {
		title  string
		shares map[string]*replay.Share
	}{{"CLASS", r.Classes}, {"CLASS/SUBSCRIPTION", r.Subscriptions}, {"CUSTOMER", r.Customers}} {
		fmt.Fprintf(w, "\n%s\trequests\ton time\tlate\trefused\tfailed\tattainment\t\n", part.title)
		for _, name := range sortedKeys(part.shares) {
			s := part.shares[name]
			fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%.2f%%\t\n", name, s.Requests, s.OnTime, s.Late, s.Refused, s.Failed, 100*s.Attainment)
		}
	}
	fmt.Fprint(w, "\nPROMISE\tviolations\t\n")
	for _, promise := range sortedKeys(r.Violations) {
		fmt.Fprintf(w, "%s\t%d\t\n", promise, r.Violations[promise])
	}
	return w.Flush()
}

func sortedKeys[T any](m map[string]T) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}
