package cli

import (
	"fmt"

	"basilrudder/internal/catalog"
	"basilrudder/internal/inventory"
)

// CheckCmd validates an inventory directory.
type CheckCmd struct {
	Dir string `arg:"" help:"Directory of TOML files to check." type:"path"`
}

// Run validates the directory and prints the number of entries of each kind.
func (c *CheckCmd) Run(streams *Streams) error {
	inv, problems := inventory.LoadDir(c.Dir)
	if len(problems) > 0 {
		return problems
	}
	cat := catalog.Compile(1, inv)
	_, err := fmt.Fprintf(streams.Out, "%s: ok, %d data centres, %d servers in %d groups, %d engines, %d classes, %d customers\n",
		c.Dir, len(cat.DataCentres), len(cat.Servers), len(cat.Groups), len(cat.Engines), len(cat.Classes), len(cat.Customers))
	return err
}
