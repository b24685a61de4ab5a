package faultnet

import (
	"net"
	"sync"

	"github.com/valyala/fasthttp"
)

// bodyLimit bounds a request body in bytes.
const bodyLimit = 16 << 20

// Server is an HTTP server whose connections can be made to fail. Stand-ins
// embed it.
type Server struct {
	http *fasthttp.Server
	stop chan struct{}

	mu        sync.Mutex
	listeners []*Listener
	closed    bool
}

// NewServer returns a server that answers with the handler.
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

// discardLogger drops what fasthttp logs: connections that tests break.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// Serve answers requests until Close or until the listener fails.
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

// Close ends the server and its connections. It may be called again.
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

// Stopped is closed by Close. A handler that waits must watch it.
func (s *Server) Stopped() <-chan struct{} {
	return s.stop
}

// SetRefusing resets new connections at once, or accepts them again.
func (s *Server) SetRefusing(refusing bool) {
	s.forEachListener(func(ln *Listener) { ln.SetRefusing(refusing) })
}

// Silence makes the open connections carry nothing more; new ones work.
func (s *Server) Silence() {
	s.forEachListener((*Listener).Silence)
}

// Cut resets the open connections.
func (s *Server) Cut() {
	s.forEachListener((*Listener).Cut)
}

// Accepted returns how many connections were accepted.
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
