package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"basilrudder/internal/eventlog"
	"basilrudder/internal/gateway"
	"basilrudder/internal/hangups"
	"basilrudder/internal/schema/relaysettings"
	"basilrudder/platform"
)

// relayCommand runs an instance that relays requests on the users' platform.
type relayCommand struct {
	Settings string `arg:"" help:"Settings file (TOML)." type:"path" env:"BASILRUDDER_SETTINGS"`
	Check    bool   `help:"Check the settings and exit."`

	// noSeeds means that the settings last read have no seeds.
	noSeeds bool
}

// Run executes the command. It exits with exitBadInput if the settings are invalid.
func (c *relayCommand) Run() error {
	s, problems := gateway.LoadSettings(c.Settings)
	if len(problems) > 0 {
		fmt.Fprintln(os.Stderr, problems.Error())
		os.Exit(exitBadInput)
	}
	if c.Check {
		return nil
	}
	c.noSeeds = len(s.Peers.Seeds) == 0
	limitMemory(s.Instance.MemoryMb)
	level, err := zapcore.ParseLevel(string(s.Log.Level))
	if err != nil {
		return err
	}
	log, sink := eventlog.New(os.Stdout, level)
	defer sink.Close()
	log = log.With(zap.String("instance", s.Instance.ID))
	timeout := time.Duration(s.Store.TimeoutMS) * time.Millisecond
	g, err := gateway.New(gateway.Config{
		Settings:  s,
		Reload:    c.reload,
		Source:    platform.NewStore(s.Store.Address, timeout, log),
		Caches:    platform.Engines{Timeout: timeout},
		Protocol:  platform.Protocol{},
		Directory: platform.Directory,
		Ready:     platform.Ready,
		Log:       log,
	})
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	go reloadOnSignal(g)
	return g.Run(ctx)
}

// errSeedsMissing is that of the first settings without seeds after some with seeds.
var errSeedsMissing = errors.New("the settings have no seeds any more: they may be incomplete")

// reload reads the settings again. A part of a file that is being written can be valid: it is
// taken as the whole only if the next read finds no seeds either.
func (c *relayCommand) reload() (*relaysettings.RelaySettings, error) {
	s, problems := gateway.LoadSettings(c.Settings)
	if len(problems) > 0 {
		return nil, problems
	}
	had := !c.noSeeds
	c.noSeeds = len(s.Peers.Seeds) == 0
	if had && c.noSeeds {
		return nil, errSeedsMissing
	}
	return s, nil
}

// reloadOnSignal reloads the settings at once on SIGHUP. Without a signal, the gateway
// detects changed settings within a second.
func reloadOnSignal(g *gateway.Gateway) {
	for range hangups.Received {
		g.Reload()
	}
}
