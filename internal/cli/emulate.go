package cli

import (
	"fmt"

	"github.com/go-faster/errors"

	"basilrudder/internal/emulator"
)

// EmulateCmd runs load scenarios against relaying instances with modelled engines.
type EmulateCmd struct {
	Scenario string `arg:"" optional:"" help:"Name of a scenario; all when left out."`
	Seed     uint64 `default:"1" help:"Seed of every random choice."`
}

// Run runs the selected scenarios and prints their results.
func (c *EmulateCmd) Run(streams *Streams) error {
	found := false
	for _, scenario := range emulator.Scenarios() {
		if c.Scenario != "" && c.Scenario != scenario.Name {
			continue
		}
		found = true
		if _, err := fmt.Fprintf(streams.Out, "%s, seed %d\n", scenario.Name, c.Seed); err != nil {
			return errors.Wrap(err, "write result")
		}
		result := emulator.Run(scenario, c.Seed)
		if err := result.Print(streams.Out); err != nil {
			return errors.Wrap(err, "write result")
		}
	}
	if !found {
		return errors.Errorf("unknown scenario %q", c.Scenario)
	}
	return nil
}
