// Command fleet starts real basilrudderd processes on loopback addresses, with
// stand-ins for everything around them in its own process, and measures them.
// It is no part of the product: run it from the root of the workspace with
// `go run ./tools/fleet`.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/go-faster/errors"
)

type commands struct {
	Measure measureCmd `cmd:"" help:"Measure one fleet."`
	Matrix  matrixCmd  `cmd:"" help:"Measure the fleets from which the slopes are fitted."`
	Profile profileCmd `cmd:"" help:"Tell which part of the daemons' CPU time is control."`
	Fit     fitCmd     `cmd:"" help:"Fit slopes to measured fleets and extrapolate."`
	Faults  faultsCmd  `cmd:"" help:"Stop, kill and replace daemons under load, and compare what callers were told with what ran."`
}

func main() {
	var cmds commands
	parsed := kong.Parse(&cmds, kong.Name("fleet"),
		kong.Description("Measures fleets of real basilrudderd processes on loopback."))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	parsed.BindTo(ctx, (*context.Context)(nil))
	if err := parsed.Run(); err != nil {
		stop()
		parsed.Errorf("%v", err)
		os.Exit(1)
	}
}

// wrap is errors.Wrap, which makes an error of nil too.
func wrap(err error, message string) error {
	if err == nil {
		return nil
	}
	return errors.Wrap(err, message)
}
