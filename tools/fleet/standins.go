package main

import (
	"net"
	"time"

	"golang.org/x/sync/errgroup"

	"basilrudder/internal/schema/inventory"
	"basilrudder/internal/standin/appserver"
	"basilrudder/internal/standin/engine"
	"basilrudder/internal/standin/platform"
	"basilrudder/internal/trial"
)

const (
	anyPort     = "127.0.0.1:0"
	serviceTime = 20 * time.Millisecond
	heartbeat   = 900 * time.Millisecond
	serviceWait = 4096 // calls that may wait at an application server
)

// standins are everything around the daemons.
type standins struct {
	inventory *inventory.Inventory
	platform  *platform.Server
	address   string
	engines   map[string]*engine.Server
	apps      map[string]*appserver.Server
	group     errgroup.Group
}

// startStandins starts the platform and every server of the inventory, and
// publishes the inventory.
func startStandins(inv *inventory.Inventory) (*standins, error) {
	s := &standins{
		inventory: inv,
		platform:  platform.New(platform.Config{}),
		engines:   make(map[string]*engine.Server),
		apps:      make(map[string]*appserver.Server),
	}
	ln, err := net.Listen("tcp", anyPort)
	if err != nil {
		return nil, err
	}
	s.address = ln.Addr().String()
	s.group.Go(func() error { return s.platform.Serve(ln) })
	for i := range inv.Servers {
		if err := s.startServer(&inv.Servers[i]); err != nil {
			s.close()
			return nil, err
		}
	}
	if _, err := s.publish(); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

func (s *standins) startServer(spec *inventory.Server) error {
	ln, err := net.Listen("tcp", anyPort)
	if err != nil {
		return err
	}
	spec.Address = ln.Addr().String()
	if spec.Kind == inventory.ServerKindApplication {
		app := appserver.New(appserver.Config{Workers: spec.Engines[0].Slots, Queue: serviceWait, ServiceTime: serviceTime})
		s.apps[spec.Name] = app
		s.group.Go(func() error { return app.Serve(ln) })
		return nil
	}
	cfg := trial.EngineConfig(spec)
	cfg.Heartbeat = heartbeat
	// Engines hold their models before the start, as a running deployment's do:
	// the first load of all of them from the weight store is not what is
	// measured.
	for i := range cfg.Engines {
		for _, model := range spec.Engines[i].Models {
			cfg.Engines[i].Models = append(cfg.Engines[i].Models, model+"@"+modelVersion)
		}
	}
	server := engine.New(cfg)
	s.engines[spec.Name] = server
	s.group.Go(func() error { return server.Serve(ln) })
	return nil
}

// publish puts the inventory out as the next revision.
func (s *standins) publish() (int, error) {
	files, err := values(s.inventory)
	if err != nil {
		return 0, err
	}
	return s.platform.Publish(files)
}

// published returns the size of the inventory as published.
func (s *standins) published() (int, error) {
	files, err := values(s.inventory)
	size := 0
	for _, file := range files {
		size += len(file.Data)
	}
	return size, err
}

func (s *standins) close() {
	for _, server := range s.engines {
		server.Close()
	}
	for _, app := range s.apps {
		app.Close()
	}
	s.platform.Close()
	_ = s.group.Wait()
}
