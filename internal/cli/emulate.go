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

	Without []string `help:"Features of placement to switch off: shared_server_paces, calibrated_pauses, split_engines, prefer_open_connections."`
	Load    float64  `default:"1" help:"Factor of all rates of requests."`
	Even    bool     `help:"No engine differs from the others in speed."`
}

// Run runs the selected scenarios and prints their results.
func (c *EmulateCmd) Run(streams *Streams) error {
	found := false
	for _, scenario := range emulator.Scenarios() {
		if c.Scenario != "" && c.Scenario != scenario.Name {
			continue
		}
		found = true
		if err := c.change(&scenario); err != nil {
			return err
		}
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

// change applies the flags to a scenario.
func (c *EmulateCmd) change(s *emulator.Scenario) error {
	for _, feature := range c.Without {
		switch feature {
		case "shared_server_paces":
			s.Features.SharedServerPaces = false
		case "calibrated_pauses":
			s.Features.CalibratedPauses = false
		case "split_engines":
			s.Features.SplitEngines = false
		case "prefer_open_connections":
			s.Features.PreferOpenConnections = false
		default:
			return errors.Errorf("unknown feature %q", feature)
		}
	}
	for i := range s.Classes {
		s.Classes[i].PerSecond *= c.Load
	}
	if c.Even {
		s.Uneven = emulator.Uneven{}
	}
	return nil
}
