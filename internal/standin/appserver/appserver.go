// Package appserver is a stand-in for a plain application server. It records
// each run by request id and can be made to refuse, to be slow and to crash.
package appserver

import (
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"basilrudder/internal/enginehttp"
)

// Config of a server.
type Config struct {
	// Name in answers.
	Name string
	// Slots is how many calls it runs at once; more are refused.
	Slots int
	// ServiceTime of a call.
	ServiceTime time.Duration
}

// Server is the stand-in. It is safe for concurrent use.
type Server struct {
	cfg  Config
	http *fasthttp.Server

	mu       sync.Mutex
	running  int
	refusing bool
	slowdown time.Duration
	runs     map[string]int
}

// New returns a server.
func New(cfg Config) *Server {
	s := &Server{cfg: cfg, runs: make(map[string]int)}
	s.http = &fasthttp.Server{Handler: s.handle, NoDefaultServerHeader: true, CloseOnShutdown: true}
	return s
}

// Serve answers until Close.
func (s *Server) Serve(ln net.Listener) error {
	return s.http.Serve(ln)
}

// Close ends the server.
func (s *Server) Close() {
	_ = s.http.Shutdown()
}

// SetRefusing makes the server refuse every call before it starts.
func (s *Server) SetRefusing(refusing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusing = refusing
}

// SetSlowdown adds to the time of each call.
func (s *Server) SetSlowdown(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slowdown = d
}

// Runs returns how often each request id was started.
func (s *Server) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.runs))
	for id, n := range s.runs {
		out[id] = n
	}
	return out
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	id := string(ctx.Request.Header.Peek(enginehttp.HeaderRequestID))
	wait, ok := s.start(id)
	if !ok {
		ctx.Response.Header.Set(enginehttp.HeaderNotStarted, enginehttp.True)
		ctx.Response.Header.Set(enginehttp.HeaderRetryAfter, "1")
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	time.Sleep(wait)
	s.mu.Lock()
	s.running--
	s.mu.Unlock()
	ctx.SetContentType("application/json")
	ctx.SetBodyString(`{"server":"` + s.cfg.Name + `","path":"` + string(ctx.Path()) + `"}`)
}

func (s *Server) start(id string) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refusing || s.cfg.Slots > 0 && s.running >= s.cfg.Slots {
		return 0, false
	}
	s.running++
	s.runs[id]++
	return s.cfg.ServiceTime + s.slowdown, true
}
