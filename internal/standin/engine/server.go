// Package engine is an HTTP stand-in for a server with model engines. It
// speaks the engine protocol of docs/PROTOCOLS.md, drives one enginemodel per
// engine in real time, and can be made to fail.
package engine

import (
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"basilrudder/internal/standin/enginemodel"
	"basilrudder/internal/standin/faultnet"
)

// DefaultHeartbeat is how often a stream without tokens carries a comment.
const DefaultHeartbeat = 250 * time.Millisecond

// bodyLimit bounds a request body in bytes.
const bodyLimit = 16 << 20

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

// quiet drops what fasthttp logs: connections that tests break.
type quiet struct{}

func (quiet) Printf(string, ...any) {}

// Server is one server with its engines.
type Server struct {
	cfg     Config
	engines map[string]*Engine
	http    *fasthttp.Server
	stop    chan struct{}
	drivers sync.WaitGroup

	mu        sync.Mutex
	listeners []*faultnet.Listener
	closed    bool
}

// New returns a server whose engines run.
func New(cfg Config) *Server {
	if cfg.Heartbeat == 0 {
		cfg.Heartbeat = DefaultHeartbeat
	}
	s := &Server{
		cfg:     cfg,
		engines: make(map[string]*Engine, len(cfg.Engines)),
		stop:    make(chan struct{}),
	}
	for i, engineConfig := range cfg.Engines {
		e := newEngine(engineConfig, cfg, cfg.Seed+uint64(i))
		s.engines[e.name] = e
		s.drivers.Go(func() { e.drive(s.stop) })
	}
	s.http = &fasthttp.Server{
		Handler:               s.handle,
		MaxRequestBodySize:    bodyLimit,
		NoDefaultServerHeader: true,
		Logger:                quiet{},
		CloseOnShutdown:       true,
	}
	return s
}

// Serve answers requests until Close or until the listener fails.
func (s *Server) Serve(ln net.Listener) error {
	wrapped := faultnet.Wrap(ln)
	s.mu.Lock()
	s.listeners = append(s.listeners, wrapped)
	closed := s.closed
	s.mu.Unlock()
	if closed {
		return ln.Close()
	}
	return s.http.Serve(wrapped)
}

// Close ends the server and its connections.
func (s *Server) Close() {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return
	}
	s.closed = true
	s.mu.Unlock()
	close(s.stop)
	s.each(func(ln *faultnet.Listener) {
		_ = ln.Close()
		ln.Cut()
	})
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

// SetRefusing resets new connections, or accepts them again.
func (s *Server) SetRefusing(refusing bool) {
	s.each(func(ln *faultnet.Listener) { ln.SetRefusing(refusing) })
}

// Silence makes the open connections carry nothing more; new ones work.
func (s *Server) Silence() {
	s.each((*faultnet.Listener).Silence)
}

// Cut resets the open connections.
func (s *Server) Cut() {
	s.each((*faultnet.Listener).Cut)
}

// Accepted returns how many connections were accepted.
func (s *Server) Accepted() int {
	total := 0
	s.each(func(ln *faultnet.Listener) { total += ln.Accepted() })
	return total
}

func (s *Server) each(do func(*faultnet.Listener)) {
	s.mu.Lock()
	listeners := append([]*faultnet.Listener(nil), s.listeners...)
	s.mu.Unlock()
	for _, ln := range listeners {
		do(ln)
	}
}
