package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"runtime"
	"runtime/pprof"
	"strings"
	"time"

	"basilrudder/internal/trial"
)

// profileCmd runs daemons and stand-ins in this one process and tells which part
// of the daemons' CPU time is control, by the packages on the stacks of a CPU
// profile.
type profileCmd struct {
	Daemons   int           `default:"8" help:"Daemons to start."`
	Customers int           `default:"1000" help:"Customers of the inventory."`
	Servers   int           `default:"18" help:"Model servers of the inventory, of four engines each."`
	Rate      float64       `default:"12" help:"Requests per second to each daemon; 0 for none."`
	StepMS    float64       `name:"step-ms" default:"36" help:"Time between tokens in milliseconds."`
	Tokens    int           `default:"300" help:"Tokens of each answer."`
	For       time.Duration `default:"20s" help:"Length of the profile."`
	Keep      string        `type:"path" help:"Keep the profile in this file."`
	Out       string        `type:"path" help:"Write the result to this file, as JSON."`
}

// role is a part of the daemon that a stack belongs to: the first of rolesOf
// whose pattern any of its frames matches.
type role struct {
	name    string
	control bool
	frames  *regexp.Regexp
}

// rolesOf sorts stacks, the more special first.
var rolesOf = []role{
	{"stand-ins and callers of the measurement", false, regexp.MustCompile(`internal/standin/|tools/fleet|main\.\(\*loadRun|net/http\.`)},
	{"peer links: reading, writing, encoding", true, regexp.MustCompile(`internal/peer\.`)},
	{"limits of customers", true, regexp.MustCompile(`internal/limits\.`)},
	{"scheduling of groups", true, regexp.MustCompile(`internal/sched\.`)},
	{"configuration", true, regexp.MustCompile(`internal/(confsync|inventory|catalog)\.`)},
	{"membership", true, regexp.MustCompile(`internal/membership\.`)},
	{"orders and hints of engines", true, regexp.MustCompile(`internal/orders\.|internal/hints\.|daemon\.\(\*(poller|orderSender)|upstream\.\(\*Client\)\.(LoadReport|CacheEvents|Order|Holdings)`)},
	{"ticks", true, regexp.MustCompile(`daemon\.\(\*Daemon\)\.tick`)},
	{"accounting", false, regexp.MustCompile(`internal/accounting\.`)},
	{"counting relayed tokens", false, regexp.MustCompile(`node\.\(\*Progress\)\.(RecordToken|Tokens)`)},
	{"following requests (node)", true, regexp.MustCompile(`internal/node\.`)},
	{"upstream streams", false, regexp.MustCompile(`internal/(upstream|answers|daemon)\.`)},
	{"callers", false, regexp.MustCompile(`internal/callers\.|fasthttp\.`)},
	{"garbage collection", false, regexp.MustCompile(`runtime\.gcBgMarkWorker|runtime\.bgsweep|runtime\.bgscavenge`)},
	{"goroutine scheduling and timers", false, regexp.MustCompile(`runtime\.(mcall|schedule|findRunnable|park_m|mstart)`)},
}

const otherRole = "other"

// profileResult is CPU time by role.
type profileResult struct {
	Daemons  int        `json:"daemons"`
	Shape    shape      `json:"inventory"`
	Load     steadyLoad `json:"load"`
	Callers  loadResult `json:"callers"`
	Seconds  float64    `json:"seconds"`
	Go       string     `json:"go"`
	LoadMean float64    `json:"load_average"`
	// Percent of a core for each daemon, by role.
	Percent map[string]float64 `json:"percent_of_a_core_per_daemon"`
	// Control is the sum over the roles that are control.
	Control float64 `json:"control_percent_of_a_core_per_daemon"`
}

// Run profiles and prints a table.
func (c *profileCmd) Run(ctx context.Context) error {
	out := profileResult{
		Daemons: c.Daemons, Go: runtime.Version(), Seconds: c.For.Seconds(),
		Shape: shape{Customers: c.Customers, Servers: c.Servers, StepMS: c.StepMS, Rate: c.Rate * float64(c.Daemons), TTL: 1},
	}
	out.Load = steadyLoad{PerDaemon: c.Rate, Tokens: c.Tokens, Customers: c.Customers, Models: out.Shape.servedModels()}
	path := c.Keep
	if path == "" {
		dir, err := os.MkdirTemp("", "fleet-profile-")
		if err != nil {
			return err
		}
		defer func() { _ = os.RemoveAll(dir) }()
		path = filepath.Join(dir, "cpu.pprof")
	}
	if err := c.profile(ctx, path, &out); err != nil {
		return err
	}
	traces, err := exec.CommandContext(ctx, "go", "tool", "pprof", "-traces", path).Output()
	if err != nil {
		return wrap(err, "read the profile")
	}
	out.sort(traces)
	out.print(os.Stdout)
	if c.Out == "" {
		return nil
	}
	return writeJSON(c.Out, out)
}

func (c *profileCmd) profile(ctx context.Context, path string, out *profileResult) error {
	inv := out.Shape.generate()
	// The stand-ins begin without models here: let all load at once.
	inv.Rules.WeightLoadsAtOnce = c.Servers * enginesPerServer
	readyCtx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	fleet, err := trial.Start(readyCtx, trial.Config{Inventory: inv, Instances: c.Daemons, Records: io.Discard})
	if err != nil {
		return err
	}
	defer fleet.Close()
	var addresses []string
	for _, m := range fleet.Members {
		addresses = append(addresses, m.Callers)
	}
	stop := make(chan struct{})
	done := make(chan loadResult, 1)
	go func() { done <- out.Load.run(ctx, addresses, stop) }()
	defer func() {
		close(stop)
		out.Callers = <-done
	}()
	warmUp := time.Duration(float64(c.Tokens)*c.StepMS)*time.Millisecond + settle
	if err := sleep(ctx, warmUp); err != nil {
		return err
	}
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	defer file.Close()
	if err := pprof.StartCPUProfile(file); err != nil {
		return err
	}
	defer pprof.StopCPUProfile()
	err = sleep(ctx, c.For)
	out.LoadMean = loadAverage()
	return err
}

// sort adds the samples of a profile, as `pprof -traces` prints them, to the
// roles of their stacks.
func (out *profileResult) sort(traces []byte) {
	out.Percent = make(map[string]float64)
	const percent = 100
	scanner := bufio.NewScanner(bytes.NewReader(traces))
	var spent time.Duration
	var frames []string
	flush := func() {
		if spent > 0 {
			r := roleOf(strings.Join(frames, "\n"))
			share := percent * spent.Seconds() / out.Seconds / float64(out.Daemons)
			out.Percent[r.name] += share
			if r.control {
				out.Control += share
			}
		}
		spent, frames = 0, nil
	}
	for scanner.Scan() {
		line := strings.TrimSpace(scanner.Text())
		if strings.HasPrefix(line, "-----") {
			flush()
			continue
		}
		fields := strings.Fields(line)
		if len(fields) > 1 {
			if d, err := time.ParseDuration(fields[0]); err == nil {
				spent = d
			}
		}
		frames = append(frames, line)
	}
	flush()
}

func roleOf(stack string) role {
	for _, r := range rolesOf {
		if r.frames.MatchString(stack) {
			return r
		}
	}
	return role{name: otherRole}
}

func (out *profileResult) print(w io.Writer) {
	fmt.Fprintf(w, "%d daemons, %d customers, %d servers, %.1f requests/s of %d tokens each: percent of a core per daemon\n",
		out.Daemons, out.Shape.Customers, out.Shape.Servers, out.Load.PerDaemon, out.Load.Tokens)
	for _, r := range append(rolesOf, role{name: otherRole}) {
		mark := ""
		if r.control {
			mark = "control"
		}
		fmt.Fprintf(w, "  %-45s %7.3f %s\n", r.name, out.Percent[r.name], mark)
	}
	fmt.Fprintf(w, "  %-45s %7.3f\n", "control", out.Control)
}
