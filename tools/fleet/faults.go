package main

import (
	"context"
	"io"
	"math/rand/v2"
	"os"
	"time"

	"github.com/go-faster/errors"
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
