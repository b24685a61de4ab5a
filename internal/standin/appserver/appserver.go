// Package appserver is an HTTP stand-in for an application server. It answers after a
// fixed service time, records each call that it starts, and can be made to refuse calls or
// crash. Like most application servers, it does not deduplicate: a call sent twice runs
// twice.
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
	"basilrudder/internal/timer"
)

// DefaultWorkers is the number of calls that run at once by default. With fewer, more
// concurrent calls are queued or refused; with more, they run without waiting.
const DefaultWorkers = 16

// Config configures a Server.
type Config struct {
	// ServiceTime is the duration of each call, without its time in the queue.
	ServiceTime time.Duration
	// Workers is the maximum number of calls that run at once; 0 for DefaultWorkers.
	Workers int
	// Queue is the maximum number of calls that wait for a worker. Further calls are
	// refused with 503 and not started.
	Queue int
}

// Run records one execution of a call.
type Run struct {
	RequestID string
	Method    string
	Path      string
	Started   monotime.Instant
	// Ended is the time at which the service time was over, just before the answer is
	// written; 0 if the call still runs or was stopped by Close.
	Ended monotime.Instant
}

// Answer is the JSON body of the answer to a completed call.
type Answer struct {
	RequestID string `json:"request_id"`
	Path      string `json:"path"`
}

// Server is a stand-in for one application server.
type Server struct {
	*faultnet.Server
	workers chan struct{} // one element per running call

	mu          sync.Mutex
	started     *sync.Cond // signals new runs; its lock is mu
	serviceTime time.Duration
	busy        bool
	admitted    int // calls running or waiting
	maxAdmitted int
	runs        []Run
}

// New returns a Server that accepts calls once Serve is called.
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

// handle refuses the call or runs it on a worker and answers.
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

// admit reserves a place for a call, running or queued. It returns false if the server is
// busy or all places are taken.
func (s *Server) admit() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy || s.admitted >= s.maxAdmitted {
		return false
	}
	s.admitted++
	return true
}

// release returns the place that admit reserved.
func (s *Server) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.admitted--
}

// start records a new run and returns its index in runs and its service time.
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

// waitServiceTime waits for the service time. It returns false if the server stops first.
func (s *Server) waitServiceTime(serviceTime time.Duration) bool {
	return timer.Sleep(serviceTime, s.Stopped())
}

// end records that the run has ended.
func (s *Server) end(run int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[run].Ended = monotime.Now()
}

// Runs returns the records of all started calls in the order of their start.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.runs)
}

// WaitForRuns blocks until at least count calls have been started. It has no timeout and
// does not end with Close.
func (s *Server) WaitForRuns(count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.runs) < count {
		s.started.Wait()
	}
}

// SetServiceTime sets the service time of calls that start from now on. Running calls keep
// theirs.
func (s *Server) SetServiceTime(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serviceTime = d
}

// SetBusy makes the server refuse new calls without starting them, or accept them again.
// Unlike SetRefusing it answers them, with 503.
func (s *Server) SetBusy(busy bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy = busy
}

// Crash resets all open connections, and new ones until Restart. Running calls go on and
// lose their answers.
func (s *Server) Crash() {
	s.SetRefusing(true)
	s.Cut()
}

// Restart accepts connections again after Crash.
func (s *Server) Restart() {
	s.SetRefusing(false)
}
