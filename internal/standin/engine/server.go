// Package engine is an HTTP stand-in for a server with model engines. It
// speaks the engine protocol of docs/PROTOCOLS.md, drives one enginemodel per
// engine in real time, and can be made to fail.
package engine

import (
	"sync"
	"time"

	"basilrudder/internal/standin/enginemodel"
	"basilrudder/internal/standin/faultnet"
)

// DefaultHeartbeat is how often a stream without tokens carries a comment.
const DefaultHeartbeat = 250 * time.Millisecond

// Config of a server.
type Config struct {
	// Engines of the server.
	Engines []EngineConfig
	// ChecksFencing says whether orders with an old fencing number are refused.
	ChecksFencing bool
	// Store that models are loaded from; nil loads at once.
	Store *enginemodel.WeightStore
	// Heartbeat is how often a stream without tokens carries a comment; 0 for
	// the default, negative for never.
	Heartbeat time.Duration
	// Seed of the engines' randomness.
	Seed uint64
}

// EngineConfig describes one engine.
type EngineConfig struct {
	// Model of the engine's behaviour; its Name is the engine's name.
	Model enginemodel.Config
	// Models held at the start, as name@version; none for an engine that serves
	// any model.
	Models []string
	// Role at the start.
	Role string
}

// Server is one server with its engines.
type Server struct {
	*faultnet.Server
	cfg     Config
	engines map[string]*Engine
	drivers sync.WaitGroup
}

// New returns a server whose engines run.
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

// Close ends the server, its engines and its connections.
func (s *Server) Close() {
	s.Server.Close()
	s.drivers.Wait()
}

// Engine returns the engine of a name, or nil.
func (s *Server) Engine(name string) *Engine {
	return s.engines[name]
}

// Crash is the loss of the whole server: every engine crashes, every
// connection is reset and new ones are, until Restart.
func (s *Server) Crash() {
	s.SetRefusing(true)
	s.Cut()
	for _, e := range s.engines {
		e.Crash()
	}
}

// Restart brings a crashed server back.
func (s *Server) Restart() {
	for _, e := range s.engines {
		e.Restart()
	}
	s.SetRefusing(false)
}
