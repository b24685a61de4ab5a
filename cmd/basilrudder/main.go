// Command basilrudder is the operators' tool. It validates inventories, shows the state of
// instances, prints reports and runs trials.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"basilrudder/internal/cli"
)

type commands struct {
	Check    cli.CheckCmd    `cmd:"" help:"Check an inventory directory."`
	Manifest cli.ManifestCmd `cmd:"" help:"Print the manifest that makes the files of a directory a revision."`
	Status   cli.StatusCmd   `cmd:"" help:"Show what an instance believes."`
	Report   cli.ReportCmd   `cmd:"" help:"Report from accounting lines."`
	Explain  cli.ExplainCmd  `cmd:"" help:"Tell the story of one request."`
	Try      cli.TryCmd      `cmd:"" help:"Run a fleet and stand-ins in one process and report."`
	Replay   cli.ReplayCmd   `cmd:"" help:"Replay a trace on a deployment in virtual time."`
	Emulate  cli.EmulateCmd  `cmd:"" help:"Play load on relaying instances before modelled engines."`
	Ladder   cli.LadderCmd   `cmd:"" help:"Replay a mix at rising loads under every policy."`
}

func main() {
	var c commands
	ctx := kong.Parse(&c,
		kong.Name("basilrudder"),
		kong.Description("Operate and try a fleet of basilrudderd."),
		kong.UsageOnError(),
		kong.Bind(&cli.Streams{Out: os.Stdout, Err: os.Stderr}),
	)
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "basilrudder:", err)
		os.Exit(cli.ExitCode(err))
	}
}
