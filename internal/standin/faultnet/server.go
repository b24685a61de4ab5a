package faultnet

import (
	"net"
	"sync"

	"github.com/valyala/fasthttp"
)

// bodyLimit is the maximum size of a request body in bytes; fasthttp rejects larger ones.
const bodyLimit = 16 << 20

// Server is an HTTP server with fault injection on its connections. Stand-ins embed it.
type Server struct {
	http *fasthttp.Server
	stop chan struct{}

	mu        sync.Mutex
	listeners []*Listener
	closed    bool
}

// NewServer returns a server that serves requests with handler.
func NewServer(handler fasthttp.RequestHandler) *Server {
	return &Server{
		http: &fasthttp.Server{
			Handler:               handler,
			MaxRequestBodySize:    bodyLimit,
			NoDefaultServerHeader: true,
			Logger:                discardLogger{},
		},
		stop: make(chan struct{}),
	}
}

// discardLogger discards fasthttp's log, which reports the connections that tests break.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// Serve serves requests from ln until Close is called or ln fails. After Close it only
// closes ln.
func (s *Server) Serve(ln net.Listener) error {
	wrapped := Wrap(ln)
	s.mu.Lock()
	s.listeners = append(s.listeners, wrapped)
	closed := s.closed
	s.mu.Unlock()
	if closed {
		return ln.Close()
	}
	return s.http.Serve(wrapped)
}

// Close closes the listeners and resets the open connections. Further calls do nothing.
func (s *Server) Close() {
	s.mu.Lock()
	closed := s.closed
	s.closed = true
	s.mu.Unlock()
	if closed {
		return
	}
	close(s.stop)
	s.forEachListener(func(ln *Listener) { _ = ln.Close() })
	s.Cut()
}

// Stopped returns a channel that Close closes. Handlers that block must select on it.
func (s *Server) Stopped() <-chan struct{} {
	return s.stop
}

// SetRefusing sets whether new connections are reset as soon as they are accepted.
func (s *Server) SetRefusing(refusing bool) {
	s.forEachListener(func(ln *Listener) { ln.SetRefusing(refusing) })
}

// Silence stops all data on the open connections; new ones are not affected.
func (s *Server) Silence() {
	s.forEachListener((*Listener).Silence)
}

// Cut resets all open connections.
func (s *Server) Cut() {
	s.forEachListener((*Listener).Cut)
}

// Accepted returns the number of connections accepted by all listeners.
func (s *Server) Accepted() int {
	total := 0
	s.forEachListener(func(ln *Listener) { total += ln.Accepted() })
	return total
}

func (s *Server) forEachListener(do func(*Listener)) {
	s.mu.Lock()
	listeners := append([]*Listener(nil), s.listeners...)
	s.mu.Unlock()
	for _, ln := range listeners {
		do(ln)
	}
}
