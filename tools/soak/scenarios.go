package main

import (
	"fmt"
	"path/filepath"

	"github.com/go-faster/errors"
)

// scenario is a play of its own, in place of the faults of a soak.
type scenario interface {
	fmt.Stringer
	run(binary, dir string, seed uint64) (*scenarioReport, error)
}

// scenarioReport is what became of the requests of a scenario.
type scenarioReport struct {
	requests int
	// concerned are those that the scenario is about.
	concerned int
	broken    []string
}

// String implements fmt.Stringer.
func (r *scenarioReport) String() string {
	out := fmt.Sprintf("%d requests, %d of them concerned, %d promises broken", r.requests, r.concerned, len(r.broken))
	for _, breach := range r.broken {
		out += "\n  " + breach
	}
	return out
}

func (r *scenarioReport) kept() bool { return len(r.broken) == 0 }

// runScenarios plays each scenario with the seeds.
func (o *options) runScenarios(list []scenario) error {
	failed := 0
	for n := range o.Runs {
		seed := o.Seed + uint64(n)
		for k, s := range list {
			r, err := inDirectory(filepath.Join(o.Logs, fmt.Sprintf("scenario-%d-seed-%d", k, seed)), func(dir string) (*scenarioReport, error) {
				return s.run(o.Binary, dir, seed)
			})
			if err != nil {
				return errors.Wrapf(err, "%s, seed %d", s, seed)
			}
			fmt.Printf("%s, seed %d: %s\n", s, seed, r)
			if !r.kept() {
				failed++
			}
		}
	}
	if failed > 0 {
		return errors.Wrapf(errBroken, "%d of %d plays", failed, o.Runs*len(list))
	}
	return nil
}
