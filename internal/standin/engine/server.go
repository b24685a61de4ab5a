// Package engine is an HTTP stand-in for a server with model engines. It implements the
// engine protocol of docs/PROTOCOLS.md, runs one enginemodel per engine in real time, and
// supports fault injection.
package engine

import (
	"sync"
	"time"

	"basilrudder/internal/standin/enginemodel"
	"basilrudder/internal/standin/faultnet"
)

// DefaultHeartbeat is the default interval between the heartbeat comments of a stream.
const DefaultHeartbeat = 250 * time.Millisecond

// Config configures a Server.
type Config struct {
	// Engines of the server.
	Engines []EngineConfig
	// ChecksFencing makes engines refuse orders with an old fencing number.
	ChecksFencing bool
	// Store that models are loaded from; with nil, loading takes no time.
	Store *enginemodel.WeightStore
	// Heartbeat is the interval between the heartbeat comments of a stream; 0 means
	// DefaultHeartbeat, a negative value disables them.
	Heartbeat time.Duration
	// Seed of the engines' random numbers; engine i uses Seed+i.
	Seed uint64
}

// EngineConfig configures one engine.
type EngineConfig struct {
	// Model of the engine's behaviour; its Name is the engine's name.
	Model enginemodel.Config
	// Models held at the start, as name@version. An engine without any serves every
	// model.
	Models []string
	// Role at the start.
	Role string
}

// Server is a stand-in server with its engines.
type Server struct {
	*faultnet.Server
	cfg     Config
	engines map[string]*Engine
	drivers sync.WaitGroup
}

// New returns a server and starts its engines. Close stops them.
func New(cfg Config) *Server {
	if cfg.Heartbeat == 0 {
		cfg.Heartbeat = DefaultHeartbeat
	}
	s := &Server{
		cfg:     cfg,
		engines: make(map[string]*Engine, len(cfg.Engines)),
	}
	s.Server = faultnet.NewServer(s.handle)
	for i, engineConfig := range cfg.Engines {
		e := newEngine(engineConfig, cfg, cfg.Seed+uint64(i))
		s.engines[e.name] = e
		s.drivers.Go(func() { e.drive(s.Stopped()) })
	}
	return s
}

// Close closes the server and its connections and waits until its engines have stopped.
func (s *Server) Close() {
	s.Server.Close()
	s.drivers.Wait()
}

// Engine returns the engine with the given name, or nil.
func (s *Server) Engine(name string) *Engine {
	return s.engines[name]
}

// Crash simulates the loss of the whole server: every engine crashes and all connections
// are reset. New connections are reset until Restart.
func (s *Server) Crash() {
	s.SetRefusing(true)
	s.Cut()
	for _, e := range s.engines {
		e.Crash()
	}
}

// Restart restarts every engine of a crashed server and accepts connections again.
func (s *Server) Restart() {
	for _, e := range s.engines {
		e.Restart()
	}
	s.SetRefusing(false)
}
