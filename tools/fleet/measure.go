package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"runtime"
	"slices"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"basilrudder/internal/daemon"
)

const (
	readyTimeout  = 90 * time.Second
	noticeTimeout = 40 * time.Second
	settle        = 3 * time.Second
	changes       = 4
	changeEvery   = 2500 * time.Millisecond
	changeTimeout = 15 * time.Second
)

// measureCmd measures one fleet.
type measureCmd struct {
	Daemons   int           `default:"8" help:"Daemons to start."`
	Customers int           `default:"1000" help:"Customers of the inventory."`
	Servers   int           `default:"100" help:"Model servers of the inventory, of four engines each."`
	Rate      float64       `default:"6" help:"Requests per second to each daemon."`
	StepMS    float64       `name:"step-ms" default:"250" help:"Time between tokens in milliseconds."`
	Tokens    int           `default:"20" help:"Tokens of each answer."`
	Window    time.Duration `default:"15s" help:"Length of each measured window."`
	Procs     int           `default:"2" help:"GOMAXPROCS of each daemon."`
	Out       string        `type:"path" help:"Write the result to this file, as JSON."`
}

// measurement is one measured fleet.
type measurement struct {
	Daemons     int    `json:"daemons"`
	Shape       shape  `json:"inventory"`
	Procs       int    `json:"gomaxprocs"`
	Go          string `json:"go"`
	MachineCPUs int    `json:"machine_cpus"`
	// StartLoad is the load average before the start.
	StartLoad float64 `json:"load_average_at_start"`
	// ReadyS is the time from the first start until every daemon had the
	// configuration and saw all the others.
	ReadyS float64 `json:"ready_s"`
	// StartCalls counts the calls of all daemons to the platform until then.
	StartCalls int `json:"start_platform_calls"`
	// PublishedBytes is the size of the whole inventory as published.
	PublishedBytes int `json:"published_bytes"`
	// Idle is without requests, Loaded under Load, Changed while Changes are
	// published, with no requests.
	Idle    window        `json:"idle"`
	Loaded  window        `json:"loaded"`
	Load    steadyLoad    `json:"load"`
	Callers loadResult    `json:"callers"`
	Changed window        `json:"changed"`
	Changes changeResult  `json:"changes"`
	Notice  noticeResult  `json:"notice"`
	Trouble []string      `json:"trouble,omitempty"`
	Took    time.Duration `json:"-"`
}

// changeResult tells how published changes of one small value came into force.
type changeResult struct {
	Count int `json:"count"`
	// InForceMS is the time from publication until each daemon had it in force.
	InForceMS spread `json:"in_force_ms"`
	// LastMS is the time until all had it, by change.
	LastMS []float64 `json:"last_ms"`
	// CPUMSPerChange and BytesPerChange are per daemon, above the idle ones.
	CPUMSPerChange float64 `json:"cpu_ms_per_change"`
	BytesPerChange float64 `json:"bytes_per_change"`
	// PlatformCallsPerChange of the whole fleet, above the idle ones.
	PlatformCallsPerChange float64 `json:"platform_calls_per_change"`
}

// noticeResult tells how long all others took to see that a daemon came or went.
type noticeResult struct {
	KilledS   float64 `json:"killed_s"`
	RestartS  float64 `json:"restarted_seen_s"`
	StoppedS  float64 `json:"stopped_s"`
	ReturnedS float64 `json:"returned_seen_s"`
	// KilledBytes are those of each other daemon's links for a death, in and out,
	// above the idle ones: news, new links and tables compared.
	KilledBytes float64 `json:"killed_bytes"`
}

// Run measures and prints one line.
func (c *measureCmd) Run(ctx context.Context) error {
	m, err := c.measure(ctx)
	if err != nil {
		return err
	}
	printHeader(os.Stdout)
	m.print(os.Stdout)
	if c.Out == "" {
		return nil
	}
	return writeJSON(c.Out, m)
}

func writeJSON(path string, value any) error {
	data, err := json.MarshalIndent(value, "", " ")
	if err != nil {
		return err
	}
	const public = 0o644
	return os.WriteFile(path, append(data, '\n'), public)
}

func (c *measureCmd) shape() shape {
	return shape{
		Customers: c.Customers, Servers: c.Servers, StepMS: c.StepMS,
		Rate: c.Rate * float64(c.Daemons), TTL: 1,
	}
}

// memoryNeeded is a bound on what a daemon of the largest inventory uses, in MB.
const memoryNeeded = 250

// checkBounds refuses what might take more than half of the machine.
func (c *measureCmd) checkBounds() error {
	const mostDaemons = 150
	half := totalMemoryMB() / 2
	if c.Daemons > mostDaemons || c.Daemons < 3 {
		return errors.Errorf("%d daemons, expected 3 to %d", c.Daemons, mostDaemons)
	}
	need := float64(c.Daemons) * (60 + memoryNeeded*float64(c.Customers)/27_000)
	if need > half {
		return errors.Errorf("may need %.0f MB, more than half of the memory (%.0f MB)", need, half)
	}
	return nil
}

func totalMemoryMB() float64 {
	var info syscall.Sysinfo_t
	if err := syscall.Sysinfo(&info); err != nil {
		return 0
	}
	return float64(info.Totalram) * float64(info.Unit) / megabyte
}

func (c *measureCmd) measure(ctx context.Context) (*measurement, error) {
	if err := c.checkBounds(); err != nil {
		return nil, err
	}
	out := &measurement{
		Daemons: c.Daemons, Shape: c.shape(), Procs: c.Procs, Go: runtime.Version(),
		MachineCPUs: runtime.NumCPU(), StartLoad: loadAverage(),
	}
	begin := time.Now()
	f, err := startFleet(ctx, fleetConfig{Shape: out.Shape, Daemons: c.Daemons, Procs: c.Procs})
	defer f.close()
	if err != nil {
		return nil, err
	}
	if err := c.phases(ctx, f, out); err != nil {
		for _, m := range f.members() {
			out.Trouble = append(out.Trouble, m.proc().log.complaints()...)
		}
		return nil, errors.Wrapf(err, "after %v; logs: %.2000q", time.Since(begin).Round(time.Second), out.Trouble)
	}
	out.Took = time.Since(begin)
	return out, nil
}

func (c *measureCmd) phases(ctx context.Context, f *fleet, out *measurement) error {
	readyCtx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	took, err := f.ready(readyCtx)
	if err != nil {
		return err
	}
	out.ReadyS = took.Seconds()
	out.StartCalls = f.standins.platform.Calls().Total()
	if out.PublishedBytes, err = f.standins.published(); err != nil {
		return err
	}
	if err := sleep(ctx, settle); err != nil {
		return err
	}
	members := f.members()
	if out.Idle, err = f.observe(ctx, members, func() error { return sleep(ctx, c.Window) }); err != nil {
		return errors.Wrap(err, "idle")
	}
	if err := c.change(ctx, f, out); err != nil {
		return errors.Wrap(err, "changes")
	}
	if err := c.loaded(ctx, f, out); err != nil {
		return errors.Wrap(err, "load")
	}
	if err := notice(ctx, f, &out.Notice); err != nil {
		return errors.Wrap(err, "notice")
	}
	return wrap(c.death(ctx, f, out), "death")
}

// loaded measures under load once the streams of the first requests have ended.
func (c *measureCmd) loaded(ctx context.Context, f *fleet, out *measurement) error {
	out.Load = steadyLoad{PerDaemon: c.Rate, Tokens: c.Tokens, Customers: c.Customers, Models: out.Shape.servedModels()}
	stop := make(chan struct{})
	done := make(chan loadResult, 1)
	members := f.members()
	addresses := make([]string, 0, len(members))
	for _, m := range members {
		addresses = append(addresses, m.address(callersPort))
	}
	go func() { done <- out.Load.run(ctx, addresses, stop) }()
	warmUp := time.Duration(float64(c.Tokens)*c.StepMS)*time.Millisecond + time.Second
	err := sleep(ctx, warmUp)
	if err == nil {
		out.Loaded, err = f.observe(ctx, members, func() error { return sleep(ctx, c.Window) })
	}
	close(stop)
	out.Callers = <-done
	return err
}

// change publishes changes of one small value and waits for each to be in force.
func (c *measureCmd) change(ctx context.Context, f *fleet, out *measurement) error {
	members := f.members()
	var times []float64
	w, err := f.observe(ctx, members, func() error {
		for range changes {
			some, err := c.changeOnce(ctx, f, members)
			if err != nil {
				return err
			}
			times = append(times, some...)
			out.Changes.LastMS = append(out.Changes.LastMS, slices.Max(some))
		}
		return nil
	})
	if err != nil {
		return err
	}
	out.Changed = w
	r := &out.Changes
	r.Count = changes
	r.InForceMS = spreadOf(times)
	perChange := w.Seconds / changes
	const percentToMS = 10
	r.CPUMSPerChange = (w.CPU.Mean - out.Idle.CPU.Mean) * percentToMS * perChange
	r.BytesPerChange = (w.Bytes.Mean - out.Idle.Bytes.Mean) * perChange
	r.PlatformCallsPerChange = (w.PlatformCallsPerS - out.Idle.PlatformCallsPerS) * perChange
	return nil
}

func (c *measureCmd) changeOnce(ctx context.Context, f *fleet, members []*member) ([]float64, error) {
	f.standins.inventory.Customers[0].Weight++
	begin := time.Now()
	revision, err := f.standins.publish()
	if err != nil {
		return nil, err
	}
	for wait := changeEvery; ; wait = pollInterval {
		if err := sleep(ctx, wait); err != nil {
			return nil, err
		}
		times := timesInForce(members, revision, begin)
		if len(times) == len(members) {
			return times, nil
		}
		if time.Since(begin) > changeTimeout {
			return nil, errors.Errorf("%d of %d daemons have revision %d in force after %v",
				len(times), len(members), revision, changeTimeout)
		}
	}
}

// timesInForce returns, for each member that has a revision in force, how long
// after its publication that was, in milliseconds.
func timesInForce(members []*member, revision int, published time.Time) []float64 {
	times := make([]float64, 0, len(members))
	for _, m := range members {
		if at, ok := m.proc().log.inForceAt(revision); ok {
			times = append(times, float64(at.Sub(published))/float64(time.Millisecond))
		}
	}
	return times
}

// notice measures how long the others take to see a daemon die, come back, fall
// silent and return.
func notice(ctx context.Context, f *fleet, out *noticeResult) error {
	ctx, cancel := context.WithTimeout(ctx, 4*noticeTimeout)
	defer cancel()
	members := f.members()
	victim, others := members[1], slices.Delete(slices.Clone(members), 1, 2)
	seesAll := func(s *daemon.Status) bool { return len(s.Members.Live) == len(members) }
	misses := func(s *daemon.Status) bool {
		for _, live := range s.Members.Live {
			if live.ID == victim.id {
				return false
			}
		}
		return true
	}
	steps := []struct {
		do     func() error
		passes func(*daemon.Status) bool
		into   *float64
	}{
		{func() error { return victim.proc().signal(syscall.SIGSTOP) }, misses, &out.StoppedS},
		{func() error { return victim.proc().signal(syscall.SIGCONT) }, seesAll, &out.ReturnedS},
		{func() error { victim.proc().kill(); return nil }, misses, &out.KilledS},
		{func() error { return f.start(victim) }, seesAll, &out.RestartS},
	}
	for _, step := range steps {
		if err := step.do(); err != nil {
			return err
		}
		took, err := f.await(ctx, others, step.passes)
		if err != nil {
			return err
		}
		*step.into = took.Seconds()
	}
	return nil
}

// death measures what a death costs the others.
func (c *measureCmd) death(ctx context.Context, f *fleet, out *measurement) error {
	// The restart that went before is still talked of for a while.
	if err := sleep(ctx, settle); err != nil {
		return err
	}
	members := f.members()
	victim, others := members[len(members)-1], members[:len(members)-1]
	w, err := f.observe(ctx, others, func() error {
		victim.proc().kill()
		return sleep(ctx, c.Window)
	})
	out.Notice.KilledBytes = (w.Bytes.Mean - out.Idle.Bytes.Mean) * w.Seconds
	return err
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

func printHeader(out io.Writer) {
	fmt.Fprintln(out, "daemons customers servers  req/s tokens | ready s | idle: CPU %  B/s  RSS MB  live MB | loaded: CPU %  links B/s  engines B/s | change: last ms  CPU ms  bytes | killed s  stopped s | load")
}

func (m *measurement) print(out io.Writer) {
	fmt.Fprintf(out, "%7d %9d %7d %6.1f %6d | %7.2f | %11.2f %4.0f %7.1f %8.1f | %13.2f %10.0f %12.0f | %15.0f %7.1f %6.0f | %8.2f %10.2f | %.1f\n",
		m.Daemons, m.Shape.Customers, m.Shape.Servers, m.Load.PerDaemon, m.Load.Tokens, m.ReadyS,
		m.Idle.CPU.Mean, m.Idle.Control.Mean, m.Idle.RSS.Mean, m.Idle.LiveHeap.Mean,
		m.Loaded.CPU.Mean, m.Loaded.Bytes.Mean, m.Loaded.EngineBytes.Mean,
		slices.Max(m.Changes.LastMS), m.Changes.CPUMSPerChange, m.Changes.BytesPerChange,
		m.Notice.KilledS, m.Notice.StoppedS, m.Loaded.LoadAverage)
}
