// Package trial runs a whole deployment in one process on loopback: the
// platform, every server of an inventory as a stand-in, and several daemons.
// `basilrudder try` and the end-to-end tests use it.
package trial

import (
	"context"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"basilrudder/internal/accounting"
	"basilrudder/internal/daemon"
	"basilrudder/internal/schema/inventory"
	"basilrudder/internal/schema/platformapi"
	"basilrudder/internal/schema/settings"
	"basilrudder/internal/standin/appserver"
	"basilrudder/internal/standin/engine"
	"basilrudder/internal/standin/enginemodel"
	"basilrudder/internal/standin/platform"
	"basilrudder/internal/timer"
)

const (
	loopback    = "127.0.0.1:0"
	serviceTime = 10 * time.Millisecond
	readyPoll   = 20 * time.Millisecond
	idPrefix    = "entry-"
)

// Config of a Fleet.
type Config struct {
	// Inventory to run; the addresses of its servers are replaced.
	Inventory *inventory.Inventory
	// Instances is the number of daemons.
	Instances int
	// DrainS bounds the drain of a daemon in seconds; 0 for no bound.
	DrainS int
	// IDPrefix starts their ids; empty for the default. Fleets that run at once
	// in one process need different ones, since metrics are published by id.
	IDPrefix string
	// Records takes the accounting lines of all daemons.
	Records io.Writer
	// Log of the daemons; nil for none.
	Log *zap.Logger
}

// Fleet is a running deployment.
type Fleet struct {
	// Platform is the stand-in for the configuration service.
	Platform *platform.Server
	// Engines and Apps are the stand-ins by server name.
	Engines map[string]*engine.Server
	Apps    map[string]*appserver.Server
	// Members are the daemons.
	Members []*Member

	cfg     Config
	address string
	group   errgroup.Group
	records *accounting.Writer
}

// Member is one daemon of the fleet.
type Member struct {
	// ID of the instance.
	ID string
	// Callers is its address for callers.
	Callers string
	// Admin is its address for operators.
	Admin string
	// Daemon that runs.
	Daemon *daemon.Daemon

	listed platformapi.Instance
	stop   context.CancelFunc
	done   chan struct{}
	err    error // of Daemon.Run, once done is closed
}

// Start starts everything and returns when each daemon has its configuration.
func Start(ctx context.Context, cfg Config) (*Fleet, error) {
	if cfg.Log == nil {
		cfg.Log = zap.NewNop()
	}
	if cfg.IDPrefix == "" {
		cfg.IDPrefix = idPrefix
	}
	f := &Fleet{
		Platform: platform.New(platform.Config{}),
		Engines:  make(map[string]*engine.Server),
		Apps:     make(map[string]*appserver.Server),
		cfg:      cfg,
		records:  accounting.NewWriter(cfg.Records, time.Now),
	}
	if err := f.start(ctx); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context) error {
	ln, err := net.Listen("tcp", loopback)
	if err != nil {
		return err
	}
	f.address = ln.Addr().String()
	f.group.Go(func() error { return f.Platform.Serve(ln) })
	for i := range f.cfg.Inventory.Servers {
		if err := f.startServer(&f.cfg.Inventory.Servers[i]); err != nil {
			return err
		}
	}
	if err := f.Publish(f.cfg.Inventory); err != nil {
		return err
	}
	for i := range f.cfg.Instances {
		dc := f.cfg.Inventory.DataCentres[i%len(f.cfg.Inventory.DataCentres)].Name
		if _, err := f.AddMember(fmt.Sprint(f.cfg.IDPrefix, i+1), dc); err != nil {
			return err
		}
	}
	return f.WaitReady(ctx)
}

// Publish makes an inventory the next revision.
func (f *Fleet) Publish(inv *inventory.Inventory) error {
	values, err := Values(inv)
	if err != nil {
		return err
	}
	_, err = f.Platform.Publish(values)
	return err
}

// startServer starts the stand-in of a server and puts its address down.
func (f *Fleet) startServer(spec *inventory.Server) error {
	ln, err := net.Listen("tcp", loopback)
	if err != nil {
		return err
	}
	spec.Address = ln.Addr().String()
	if spec.Kind == inventory.ServerKindApplication {
		app := appserver.New(appserver.Config{Workers: spec.Engines[0].Slots, ServiceTime: serviceTime})
		f.Apps[spec.Name] = app
		f.group.Go(func() error { return app.Serve(ln) })
		return nil
	}
	server := engine.New(EngineConfig(spec))
	f.Engines[spec.Name] = server
	f.group.Go(func() error { return server.Serve(ln) })
	return nil
}

// EngineConfig returns the stand-in's configuration for a server.
func EngineConfig(spec *inventory.Server) engine.Config {
	cfg := engine.Config{ChecksFencing: spec.ChecksFencing}
	for _, e := range spec.Engines {
		cfg.Engines = append(cfg.Engines, engine.EngineConfig{
			Model: enginemodel.Config{
				Name:              e.Name,
				Slots:             e.Slots,
				StepMS:            e.StepMS,
				PrefillTokensPerS: e.PrefillTokensPerS,
			},
			Role: string(e.Role),
		})
	}
	return cfg
}

// AddMember starts one more daemon.
func (f *Fleet) AddMember(id, dataCentre string) (*Member, error) {
	s := DaemonSettings(id, dataCentre, f.address)
	s.Limits.DrainS = f.cfg.DrainS
	for _, m := range f.Members {
		s.Peers.Seeds = append(s.Peers.Seeds, m.listed.PeerAddress)
	}
	listeners, err := daemon.Listen(s)
	if err != nil {
		return nil, err
	}
	d, err := daemon.New(daemon.Config{
		Settings:  s,
		Listeners: listeners,
		Records:   f.records,
		Log:       f.cfg.Log.With(zap.String("instance", id)),
	})
	if err != nil {
		listeners.Close()
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	m := &Member{
		ID:      id,
		Callers: listeners.Callers.Addr().String(),
		Admin:   listeners.Admin.Addr().String(),
		Daemon:  d,
		stop:    stop,
		done:    make(chan struct{}),
		listed: platformapi.Instance{
			ID:            id,
			DataCentre:    dataCentre,
			CallerAddress: listeners.Callers.Addr().String(),
			PeerAddress:   listeners.Peers.Addr().String(),
			State:         platformapi.InstanceStateLive,
		},
	}
	f.Members = append(f.Members, m)
	f.list()
	f.group.Go(func() error {
		defer close(m.done)
		m.err = d.Run(ctx)
		return nil
	})
	return m, nil
}

// DaemonSettings returns settings of a daemon on free loopback ports.
func DaemonSettings(id, dataCentre, platformAddress string) *settings.Settings {
	const (
		body     = 4 << 20
		header   = 16 << 10
		requests = 4096
		kept     = 16 << 20
		timeout  = 10_000
	)
	return &settings.Settings{
		Instance: settings.InstanceSettings{ID: id, DataCentre: dataCentre},
		Listen:   settings.ListenSettings{Callers: loopback, Peers: loopback, Admin: loopback},
		Platform: settings.PlatformSettings{Address: platformAddress, TimeoutMS: 1000},
		Limits: settings.LimitSettings{
			BodyBytes: body, HeaderBytes: header, Connections: requests, Requests: requests,
			KeptAnswerBytes: kept, ReadTimeoutMS: timeout, WriteStallMS: timeout,
		},
	}
}

func (f *Fleet) list() {
	var instances []platformapi.Instance
	for _, m := range f.Members {
		instances = append(instances, m.listed)
	}
	f.Platform.SetInstances(instances)
}

// Remove drains a daemon and waits until it has ended. It returns an error when
// requests were cut off.
func (f *Fleet) Remove(m *Member) error {
	m.stop()
	<-m.done
	for i, other := range f.Members {
		if other == m {
			f.Members = append(f.Members[:i], f.Members[i+1:]...)
			break
		}
	}
	f.list()
	return m.err
}

// Kill ends a daemon at once. The platform goes on listing it, as it does a
// process that crashed.
func (f *Fleet) Kill(m *Member) {
	m.Daemon.Abort()
	<-m.done
}

// WaitReady waits until every daemon has the newest configuration and sees all
// the others.
func (f *Fleet) WaitReady(ctx context.Context) error {
	ticker := timer.NewTicker(readyPoll)
	defer ticker.Stop()
	for !f.ready() {
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "fleet is not ready")
		case <-ticker.C:
		}
	}
	return nil
}

func (f *Fleet) ready() bool {
	for _, m := range f.Members {
		status := m.Daemon.StatusNow()
		if status.Config.Revision == 0 || len(status.Members.Live) < len(f.Members) {
			return false
		}
	}
	return true
}

// Close drains the daemons and ends the stand-ins.
func (f *Fleet) Close() {
	for _, m := range f.Members {
		m.stop()
	}
	f.end()
}

// Abort ends the daemons at once, and the stand-ins.
func (f *Fleet) Abort() {
	for _, m := range f.Members {
		m.Daemon.Abort()
	}
	f.end()
}

func (f *Fleet) end() {
	for _, m := range f.Members {
		<-m.done
	}
	_ = f.records.Close()
	for _, server := range f.Engines {
		server.Close()
	}
	for _, app := range f.Apps {
		app.Close()
	}
	f.Platform.Close()
	_ = f.group.Wait()
}
