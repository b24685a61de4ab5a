// Command basilrudderd runs one instance of the router.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"basilrudder/internal/accounting"
	"basilrudder/internal/daemon"
	"basilrudder/internal/hangups"
	"basilrudder/internal/schema/settings"
	checked "basilrudder/internal/settings"
)

// Exit codes.
const (
	exitFailed   = 1
	exitBadInput = 2
)

type options struct {
	Serve serveCommand `cmd:"" default:"withargs" help:"Serve callers of basilrudder's own interface."`
	Relay relayCommand `cmd:"" help:"Relay requests on the users' platform."`
}

// serveCommand runs an instance that serves basilrudder's own caller interface.
type serveCommand struct {
	Settings string `arg:"" help:"Settings file (TOML)." type:"path"`
	LogLevel string `help:"Overrides log.level." enum:",debug,info,warn,error" default:"" env:"BASILRUDDER_LOG_LEVEL"`
	Check    bool   `help:"Check the settings and exit."`
}

func main() {
	var opts options
	ctx := kong.Parse(&opts, kong.Name("basilrudderd"), kong.Description("One instance of the router."))
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "basilrudderd:", err)
		os.Exit(exitFailed)
	}
}

// Run executes the command. It exits with exitBadInput if the settings are invalid.
func (c *serveCommand) Run() error {
	hangups.Stop()
	s, problems := checked.Load(c.Settings, os.Getenv)
	if len(problems) > 0 {
		fmt.Fprintln(os.Stderr, problems.Error())
		os.Exit(exitBadInput)
	}
	if c.LogLevel != "" {
		s.Log.Level = settings.Level(c.LogLevel)
	}
	if c.Check {
		return nil
	}
	return run(s)
}

// run serves requests until the drain that the first SIGTERM or SIGINT starts has finished,
// or until the second signal.
func run(s *settings.Settings) error {
	limitMemory(s.Limits.MemoryMb)
	log, err := newLog(string(s.Log.Level))
	if err != nil {
		return err
	}
	listeners, err := daemon.Listen(s)
	if err != nil {
		return err
	}
	records := accounting.NewWriter(os.Stdout, time.Now)
	d, err := daemon.New(daemon.Config{Settings: s, Listeners: listeners, Records: records, Log: log})
	if err != nil {
		return err
	}
	ctx, drain := context.WithCancel(context.Background())
	defer drain()
	go handleSignals(drain, d.Abort)
	err = d.Run(ctx)
	if closeErr := records.Close(); err == nil {
		err = closeErr
	}
	return err
}

// handleSignals starts the drain at the first SIGTERM or SIGINT and aborts at the second;
// accounting lines of finished requests are still written. It then restores the default
// handling, so that a third signal kills the process if the shutdown hangs.
func handleSignals(drain, abort func()) {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	drain()
	<-signals
	signal.Stop(signals)
	abort()
}

// newLog returns a logger that writes to standard error. Standard output is reserved for
// accounting lines.
func newLog(level string) (*zap.Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	cfg := zap.NewProductionConfig()
	cfg.Level = zap.NewAtomicLevelAt(parsed)
	cfg.Sampling = nil
	cfg.DisableStacktrace = true
	return cfg.Build()
}
