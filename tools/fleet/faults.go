package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"runtime"
	"slices"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"basilrudder/internal/monotime"
)

// faultsCmd brings faults about under a small load.
type faultsCmd struct {
	Daemons   int           `default:"8" help:"Daemons to start."`
	Rate      float64       `default:"60" help:"Requests per second over the fleet."`
	StepMS    float64       `name:"step-ms" default:"20" help:"Time between tokens in milliseconds."`
	Tokens    int           `default:"150" help:"Longest answer in tokens."`
	Servers   int           `default:"42" help:"Model servers."`
	TTL       int           `name:"ttl" default:"2" help:"Time a directory answer may be used, in seconds."`
	For       time.Duration `default:"30s" help:"Length of the scenarios that kill and stop daemons."`
	Seed      uint64        `default:"1" help:"Seed of the load and of the victims."`
	Scenarios []string      `default:"restart,replace,kill,stop,mixed,withdraw" help:"Scenarios to run: ${default}."`
	Out       string        `type:"path" help:"Write the result to this file, as JSON."`
}

// faultResult is what one scenario brought.
type faultResult struct {
	Scenario string `json:"scenario"`
	Daemons  int    `json:"daemons"`
	// Faults that were brought about.
	Faults int     `json:"faults"`
	TookS  float64 `json:"took_s"`
	// Requests by how they ended for their caller: answered whole, not answered
	// and possibly run, and not answered and not run.
	Requests  int `json:"requests"`
	Whole     int `json:"whole"`
	Uncertain int `json:"uncertain"`
	NotRun    int `json:"given_up_not_run"`
	// Retried requests needed more than one id.
	Retried int `json:"retried"`
	// Refusals and losses that callers saw on the way, by reason.
	Reasons map[string]int `json:"reasons"`
	// Executions started by the stand-ins, all scenarios so far.
	Executions int `json:"executions_so_far"`
	// Contradictions between verdicts and executions; there must be none.
	Contradictions []string `json:"contradictions"`
	// Lost gives the stories of some requests that were not answered.
	Lost []string `json:"lost,omitempty"`
	// LastStartMS is when withdrawn servers last started a request, in ms after
	// the publication, by withdrawal; below 0 when none came after it.
	LastStartMS []float64 `json:"last_start_ms,omitempty"`
	LoadAverage float64   `json:"load_average"`
	Seed        uint64    `json:"seed"`
	Go          string    `json:"go"`
}

const (
	readyAgain   = 60 * time.Second
	drainTimeout = 90 * time.Second
	lostShown    = 8
)

// faultRun is one run of scenarios over one fleet.
type faultRun struct {
	cmd   *faultsCmd
	fleet *fleet
	rng   *rand.Rand
	count int
	last  []float64
}

// Run runs the scenarios and fails when callers were told what is not so.
func (c *faultsCmd) Run(ctx context.Context) error {
	f, err := startFleet(ctx, fleetConfig{
		Shape:   shape{Customers: 20, Servers: c.Servers, StepMS: c.StepMS, Rate: c.Rate, TTL: c.TTL},
		Daemons: c.Daemons, Procs: 2, Accounting: io.Discard,
	})
	defer f.close()
	if err != nil {
		return err
	}
	r := &faultRun{cmd: c, fleet: f, rng: rand.New(rand.NewPCG(c.Seed, 1))}
	if err := r.settled(ctx); err != nil {
		return err
	}
	results, err := r.scenarios(ctx)
	if c.Out != "" && len(results) > 0 {
		if writeErr := writeJSON(c.Out, results); err == nil {
			err = writeErr
		}
	}
	return err
}

func (r *faultRun) scenarios(ctx context.Context) ([]faultResult, error) {
	known := map[string]func(context.Context) error{
		"restart": r.restartAll, "replace": r.replaceAll, "kill": r.kills,
		"stop": r.stops, "mixed": r.mixed, "withdraw": r.withdrawals,
	}
	crowd := newCrowd(r.fleet.cfg.Shape, r.cmd.Rate, r.cmd.Tokens, r.cmd.Seed, r.entries)
	var out []faultResult
	bad := 0
	for _, name := range r.cmd.Scenarios {
		scenario := known[name]
		if scenario == nil {
			return out, errors.Errorf("no scenario %q", name)
		}
		r.count, r.last = 0, nil
		begin := time.Now()
		stories, err := crowd.during(ctx, func() error { return scenario(ctx) })
		if err != nil {
			return out, errors.Wrap(err, name)
		}
		result := r.judge(name, stories)
		result.TookS = time.Since(begin).Seconds()
		result.print(os.Stdout)
		out = append(out, result)
		bad += len(result.Contradictions)
		if err := r.settled(ctx); err != nil {
			return out, errors.Wrap(err, "after "+name)
		}
	}
	if bad > 0 {
		return out, errors.Errorf("%d contradictions", bad)
	}
	return out, nil
}

// settled waits until every daemon sees all the others.
func (r *faultRun) settled(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyAgain)
	defer cancel()
	_, err := r.fleet.ready(ctx)
	if err != nil {
		return errors.Wrap(err, r.fleet.describe())
	}
	return nil
}

// entries are the addresses of all daemons, in a random order.
func (r *faultRun) entries() []string {
	var out []string
	for _, m := range r.fleet.members() {
		out = append(out, m.address(callersPort))
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

func (r *faultRun) judge(name string, stories []*story) faultResult {
	ran := r.fleet.standins.runs()
	out := faultResult{
		Scenario: name, Daemons: r.cmd.Daemons, Faults: r.count, Requests: len(stories),
		Reasons: make(map[string]int), Executions: len(ran),
		Contradictions: contradictions(stories, ran), LastStartMS: r.last,
		LoadAverage: loadAverage(), Seed: r.cmd.Seed, Go: runtime.Version(),
	}
	for _, s := range stories {
		out.add(s)
	}
	return out
}

func (out *faultResult) add(s *story) {
	if len(s.ids) > 1 {
		out.Retried++
	}
	for _, t := range s.ids {
		switch t.kind {
		case answerRefused:
			out.Reasons[string(t.verdict)+" "+t.reason]++
		case answerLost:
			out.Reasons["lost"]++
		case answerUnsent:
			out.Reasons["no connection"]++
		}
	}
	uncertain := slices.ContainsFunc(s.ids, func(t told) bool {
		return t.kind == answerLost || t.kind == answerRefused && t.verdict != "not_run"
	})
	switch {
	case s.whole:
		out.Whole++
		return
	case uncertain:
		out.Uncertain++
	default:
		out.NotRun++
	}
	if len(out.Lost) < lostShown {
		out.Lost = append(out.Lost, fmt.Sprintf("%s, %d ids, after %v: %s",
			s.class, len(s.ids), time.Since(s.began).Round(time.Millisecond), s.why))
	}
}

func (out *faultResult) print(w io.Writer) {
	fmt.Fprintf(w, "%-9s %3d faults in %5.1f s: %5d requests, %5d whole, %3d uncertain, %3d not run; %3d retried %v; %d contradictions; load %.1f\n",
		out.Scenario, out.Faults, out.TookS, out.Requests, out.Whole, out.Uncertain, out.NotRun,
		out.Retried, out.Reasons, len(out.Contradictions), out.LoadAverage)
	for _, text := range append(out.Contradictions, out.Lost...) {
		fmt.Fprintln(w, "   ", text)
	}
	if len(out.LastStartMS) > 0 {
		fmt.Fprintf(w, "    last start at a withdrawn server, ms after publication: %.0f\n", out.LastStartMS)
	}
}

// restartAll ends each daemon with SIGTERM, one after the other, and starts it
// again under the same id and addresses.
func (r *faultRun) restartAll(ctx context.Context) error {
	for _, m := range r.fleet.members() {
		r.count++
		if err := r.terminate(m); err != nil {
			return err
		}
		if err := r.fleet.start(m); err != nil {
			return err
		}
		if err := r.settled(ctx); err != nil {
			return err
		}
	}
	return nil
}

// replaceAll starts a new daemon for each, then ends the old one.
func (r *faultRun) replaceAll(ctx context.Context) error {
	for _, old := range r.fleet.members() {
		r.count++
		fresh := r.fleet.newMember()
		if err := r.fleet.start(fresh); err != nil {
			return err
		}
		r.fleet.list(r.fleet.members())
		if err := r.settled(ctx); err != nil {
			return err
		}
		if err := r.terminate(old); err != nil {
			return err
		}
		r.fleet.remove(old)
		r.fleet.list(r.fleet.members())
	}
	return r.settled(ctx)
}

func (r *faultRun) terminate(m *member) error {
	p := m.proc()
	if err := p.signal(syscall.SIGTERM); err != nil {
		return err
	}
	if !p.ended(drainTimeout) {
		return errors.Errorf("%s did not end within %v; log: %.1000q", m.id, drainTimeout, p.log.complaints())
	}
	return nil
}

func (r *faultRun) victim() *member {
	members := r.fleet.members()
	return members[r.rng.IntN(len(members))]
}

func (r *faultRun) pause(ctx context.Context, least, most time.Duration) error {
	return sleep(ctx, least+time.Duration(r.rng.Int64N(int64(most-least))))
}

// kills kills daemons, two in close order now and then, and starts them again.
func (r *faultRun) kills(ctx context.Context) error {
	end := time.Now().Add(r.cmd.For)
	for time.Now().Before(end) {
		if err := r.killOne(ctx, r.victim()); err != nil {
			return err
		}
	}
	return nil
}

func (r *faultRun) killOne(ctx context.Context, m *member) error {
	r.count++
	m.proc().kill()
	if err := r.pause(ctx, 100*time.Millisecond, 4*time.Second); err != nil {
		return err
	}
	if err := r.fleet.start(m); err != nil {
		return err
	}
	return r.pause(ctx, 500*time.Millisecond, 2*time.Second)
}

// stops stops daemons for a while and lets them go on.
func (r *faultRun) stops(ctx context.Context) error {
	end := time.Now().Add(r.cmd.For)
	for time.Now().Before(end) {
		if err := r.stopOne(ctx, r.victim()); err != nil {
			return err
		}
	}
	return nil
}

func (r *faultRun) stopOne(ctx context.Context, m *member) error {
	r.count++
	p := m.proc()
	if err := p.signal(syscall.SIGSTOP); err != nil {
		return err
	}
	if err := r.pause(ctx, 200*time.Millisecond, 7*time.Second); err != nil {
		return err
	}
	if err := p.signal(syscall.SIGCONT); err != nil {
		return err
	}
	return r.pause(ctx, 200*time.Millisecond, 2*time.Second)
}

// mixed kills one daemon while another one is stopped.
func (r *faultRun) mixed(ctx context.Context) error {
	end := time.Now().Add(r.cmd.For)
	for time.Now().Before(end) {
		stopped, killed := r.victim(), r.victim()
		if stopped == killed {
			continue
		}
		r.count++
		p := stopped.proc()
		if err := p.signal(syscall.SIGSTOP); err != nil {
			return err
		}
		if err := r.killOne(ctx, killed); err != nil {
			return err
		}
		if err := p.signal(syscall.SIGCONT); err != nil {
			return err
		}
		if err := r.pause(ctx, 200*time.Millisecond, 2*time.Second); err != nil {
			return err
		}
	}
	return nil
}

// withdrawals withdraws a few servers in turn, the later ones while a daemon
// sleeps through the change.
func (r *faultRun) withdrawals(ctx context.Context) error {
	const count = 6
	for i := range count {
		r.count++
		var err error
		if i%2 == 0 {
			err = r.withdraw(ctx, i, nil)
		} else {
			err = r.withdraw(ctx, i, r.victim().proc())
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// withdraw withdraws a server and puts down when it last started a request. The
// process, if any, sleeps from before the publication until after it.
func (r *faultRun) withdraw(ctx context.Context, index int, sleeper *process) error {
	const (
		before = 300 * time.Millisecond
		asleep = 5 * time.Second
		awake  = 3 * time.Second
	)
	if sleeper != nil {
		if err := sleeper.signal(syscall.SIGSTOP); err != nil {
			return err
		}
		if err := sleep(ctx, before); err != nil {
			return err
		}
	}
	spec := &r.fleet.standins.inventory.Servers[index]
	spec.Withdrawn = true
	published := monotime.Now()
	if _, err := r.fleet.standins.publish(); err != nil {
		return err
	}
	if err := sleep(ctx, asleep); err != nil {
		return err
	}
	if sleeper != nil {
		if err := sleeper.signal(syscall.SIGCONT); err != nil {
			return err
		}
	}
	if err := sleep(ctx, awake); err != nil {
		return err
	}
	r.last = append(r.last, float64(r.lastStart(index).Sub(published))/float64(time.Millisecond))
	spec.Withdrawn = false
	_, err := r.fleet.standins.publish()
	return err
}

// lastStart returns when a server last started a request.
func (r *faultRun) lastStart(index int) monotime.Instant {
	spec := &r.fleet.standins.inventory.Servers[index]
	var last monotime.Instant
	for _, e := range spec.Engines {
		for _, run := range r.fleet.standins.engines[spec.Name].Engine(e.Name).Runs() {
			last = max(last, run.Accepted)
		}
	}
	return last
}
