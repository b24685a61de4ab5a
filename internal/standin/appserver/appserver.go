// Package appserver is an HTTP stand-in for an application server. It answers
// after a fixed time, records each call and can be made to fail. Like most
// application servers, it does not notice a call that comes twice.
package appserver

import (
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"basilrudder/internal/enginehttp"
	"basilrudder/internal/monotime"
	"basilrudder/internal/standin/faultnet"
)

// DefaultWorkers is how many calls run at once.
const DefaultWorkers = 16

// Config of a server.
type Config struct {
	// ServiceTime is how long each call takes.
	ServiceTime time.Duration
	// Workers is how many calls run at once; 0 for the default.
	Workers int
	// Queue is how many more may wait; beyond that calls are refused.
	Queue int
}

// Run records one call that was started.
type Run struct {
	RequestID string
	Method    string
	Path      string
	Started   monotime.Instant
	// Ended is when the answer was handed to the connection; 0 before.
	Ended monotime.Instant
}

// Answer is the body of an answer.
type Answer struct {
	RequestID string `json:"request_id"`
	Path      string `json:"path"`
}

// Server is one application server.
type Server struct {
	*faultnet.Server
	workers chan struct{}

	mu          sync.Mutex
	started     *sync.Cond // on mu
	serviceTime time.Duration
	busy        bool
	admitted    int // calls running or waiting
	maxAdmitted int
	runs        []Run
}

// New returns a server.
func New(cfg Config) *Server {
	if cfg.Workers == 0 {
		cfg.Workers = DefaultWorkers
	}
	s := &Server{
		workers:     make(chan struct{}, cfg.Workers),
		serviceTime: cfg.ServiceTime,
		maxAdmitted: cfg.Workers + cfg.Queue,
	}
	s.started = sync.NewCond(&s.mu)
	s.Server = faultnet.NewServer(s.handle)
	return s
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	if !s.admit() {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		ctx.Response.Header.Set(enginehttp.HeaderNotStarted, enginehttp.True)
		ctx.Response.Header.Set(enginehttp.HeaderRetryAfter, "1")
		return
	}
	defer s.release()
	select {
	case s.workers <- struct{}{}:
	case <-s.Stopped():
		return
	}
	defer func() { <-s.workers }()
	run, serviceTime := s.start(ctx)
	if !s.waitServiceTime(serviceTime) {
		return
	}
	s.end(run)
	body, err := json.Marshal(Answer{
		RequestID: string(ctx.Request.Header.Peek(enginehttp.HeaderRequestID)),
		Path:      string(ctx.RequestURI()),
	})
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType(enginehttp.TypeJSON)
	ctx.SetBody(body)
}

func (s *Server) admit() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy || s.admitted >= s.maxAdmitted {
		return false
	}
	s.admitted++
	return true
}

func (s *Server) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.admitted--
}

func (s *Server) start(ctx *fasthttp.RequestCtx) (run int, serviceTime time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.started.Broadcast()
	s.runs = append(s.runs, Run{
		RequestID: string(ctx.Request.Header.Peek(enginehttp.HeaderRequestID)),
		Method:    string(ctx.Method()),
		Path:      string(ctx.RequestURI()),
		Started:   monotime.Now(),
	})
	return len(s.runs) - 1, s.serviceTime
}

// waitServiceTime takes the service time. It returns false when the server stops.
func (s *Server) waitServiceTime(serviceTime time.Duration) bool {
	timer := time.NewTimer(serviceTime)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-s.Stopped():
		return false
	}
}

func (s *Server) end(run int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[run].Ended = monotime.Now()
}

// Runs returns a record of every call that was started.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.runs)
}

// WaitForRuns waits until so many calls were started.
func (s *Server) WaitForRuns(count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.runs) < count {
		s.started.Wait()
	}
}

// SetServiceTime changes how long the calls that start from now on take.
func (s *Server) SetServiceTime(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serviceTime = d
}

// SetBusy makes the server refuse calls without starting them, or take them
// again.
func (s *Server) SetBusy(busy bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy = busy
}

// Crash resets every connection, and new ones until Restart.
func (s *Server) Crash() {
	s.SetRefusing(true)
	s.Cut()
}

// Restart brings a crashed server back.
func (s *Server) Restart() {
	s.SetRefusing(false)
}
