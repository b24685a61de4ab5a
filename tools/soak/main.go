// Command soak runs relaying instances as separate processes on this machine,
// with stand-ins of the store, the servers and the callers around them, disturbs
// them from outside and checks the product's promises by what callers and
// servers see. The seed decides which faults come when.
package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"github.com/alecthomas/kong"
	"github.com/go-faster/errors"
)

// options of the command.
type options struct {
	Seed      uint64        `help:"Decides which faults come when." default:"1"`
	Runs      int           `help:"Number of seeds, from the first one on." default:"1"`
	Cases     string        `help:"File of soaks to run in place of these seeds." type:"existingfile"`
	For       time.Duration `help:"How long faults come." default:"8s"`
	Instances int           `help:"Number of instances." default:"6"`
	Servers   int           `help:"Number of servers, model engines and plain ones by turns." default:"6"`
	Callers   int           `help:"Number of callers." default:"24"`
	Poison    bool          `help:"Send requests that crash servers by a part of their prompts."`
	Ends      ends          `help:"End instances or servers without notice and do nothing else, or both beside all other faults, before callers of HTTP/1.0 and 1.1 and servers that send no length." enum:",instances,servers,all" default:""`
	MassKills bool          `help:"Kill all instances at once while servers of one version replace those of another, and have callers take up their streams, in place of everything else."`
	Pauses    bool          `help:"Stop an instance for a while (SIGSTOP) while servers of a new version join, in place of everything else."`
	Stops     bool          `help:"Have instances end in a planned stop while callers keep their connections, in place of everything else."`
	Logs      string        `help:"Directory for settings and logs; those of soaks that keep the promises are removed." default:"soak-logs" type:"path"`
	Binary    string        `help:"A basilrudderd that is built already; empty to build it." type:"path"`
	Verbose   bool          `help:"Tell of each fault."`
}

func main() {
	var o options
	kong.Parse(&o, kong.Description("Disturb relaying instances and check what callers and servers see."))
	if err := o.run(); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(1)
	}
}

// errBroken says that some promise was not kept.
var errBroken = errors.New("promises were broken")

func (o *options) run() error {
	if o.Binary == "" {
		dir, err := os.MkdirTemp("", "soak")
		if err != nil {
			return err
		}
		defer os.RemoveAll(dir)
		if o.Binary, err = build(dir); err != nil {
			return err
		}
	}
	if o.MassKills {
		return o.runMassKills()
	}
	if o.Pauses {
		return o.runScenarios(standstills)
	}
	if o.Stops {
		return o.runScenarios(plannedStops)
	}
	cases, err := o.cases()
	if err != nil {
		return err
	}
	failed := 0
	for _, c := range cases {
		s := &soak{sizes: c.sizes, seed: c.seed, binary: o.Binary, verbose: o.Verbose, timing: true, poisoned: o.Poison, ends: o.Ends}
		r, err := inDirectory(filepath.Join(o.Logs, fmt.Sprintf("seed-%d", c.seed)), s.run)
		if err != nil {
			return errors.Wrapf(err, "seed %d", c.seed)
		}
		fmt.Printf("seed %d: %s\n", c.seed, r)
		if len(r.broken) > 0 {
			failed++
		}
	}
	if failed > 0 {
		return errors.Wrapf(errBroken, "%d of %d seeds", failed, len(cases))
	}
	return nil
}

func (o *options) cases() ([]regression, error) {
	if o.Cases != "" {
		return readCases(o.Cases)
	}
	out := make([]regression, o.Runs)
	for n := range out {
		out[n] = regression{
			seed:  o.Seed + uint64(n),
			sizes: sizes{length: o.For, instances: o.Instances, servers: o.Servers, callers: o.Callers},
		}
	}
	return out, nil
}

// build builds basilrudderd into a directory.
func build(dir string) (string, error) {
	path := filepath.Join(dir, "basilrudderd")
	cmd := exec.Command("go", "build", "-o", path, "basilrudder/cmd/basilrudderd")
	cmd.Stderr = os.Stderr
	if err := cmd.Run(); err != nil {
		return "", errors.Wrap(err, "build basilrudderd")
	}
	return path, nil
}

// inDirectory runs a soak with its settings and logs in a directory of its own, which is
// left when a promise is broken.
func inDirectory[R interface{ kept() bool }](dir string, run func(dir string) (R, error)) (R, error) {
	const dirMode = 0o700
	if err := os.MkdirAll(dir, dirMode); err != nil {
		var none R
		return none, err
	}
	r, err := run(dir)
	if err != nil || !r.kept() {
		return r, err
	}
	return r, os.RemoveAll(dir)
}
