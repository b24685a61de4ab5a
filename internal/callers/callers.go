// Package callers implements the HTTP interface for callers: chat completions in the
// format usual for language models, plain service calls, the directory, and answers
// fetched or resumed by request id.
package callers

import (
	"cmp"
	"context"
	"expvar"
	"net"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"basilrudder/internal/answers"
	"basilrudder/internal/catalog"
	"basilrudder/internal/inbound"
	"basilrudder/internal/monotime"
	"basilrudder/internal/schema/callerapi"
	"basilrudder/internal/verdict"
)

// Header fields of requests and responses.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderClass     = "X-Request-Class"
	HeaderVerdict   = "X-Verdict"
	// HeaderRelayed marks a request that another instance relayed. It is not relayed
	// again: two instances that each take the other for its home would relay it back
	// and forth forever.
	HeaderRelayed = "X-Basilrudder-Relayed"
	// HeaderShouldRetry, set to "false", prevents automatic retries by client libraries.
	HeaderShouldRetry = "X-Should-Retry"
)

// Request is a call to be served.
type Request struct {
	// ID given by the caller; if empty, the backend mints one.
	ID string
	// Customer the caller belongs to.
	Customer *catalog.Customer
	// Class of the request.
	Class *catalog.Class
	// Body to send upstream.
	Body []byte
	// PromptTokens is given by the caller, or estimated from the body.
	PromptTokens int
	// MaxTokens bounds the answer; 0 if neither the caller nor the class sets a bound.
	MaxTokens int
	// Prefix identifies the leading part of the prompt, for cache affinity.
	Prefix uint64
	// Service is non-nil for a call to a plain service.
	Service *ServiceRequest
	// Fingerprint distinguishes different requests sent under the same id.
	Fingerprint uint64
	// Arrived is the time at which the request had been read completely.
	Arrived monotime.Instant
}

// ServiceRequest is the HTTP part of a call to a plain service.
type ServiceRequest struct {
	// Method of the call.
	Method string
	// Path and query as sent to the service.
	Path string
	// ContentType of the body.
	ContentType string
}

// Backend executes the requests. Its methods must be safe for concurrent use.
type Backend interface {
	// Catalog returns the configuration in force, or nil if there is none yet.
	Catalog() *catalog.Catalog
	// Submit starts a request and returns its answer and id. The same customer and id
	// return the same answer. ctx is cancelled when the server stops, not when the
	// caller disconnects.
	Submit(ctx context.Context, request *Request) (*answers.Log, string, *verdict.Error)
	// CallerGone reports that the last connection following an answer was lost before
	// the end of the answer was written. The caller may reconnect to fetch the answer.
	CallerGone(customer *catalog.Customer, id string)
	// Delivered reports that the end of an answer or its refusal was written to a
	// caller's connection. It may be called more than once for an id.
	Delivered(customer *catalog.Customer, id string)
	// Refused reports a request that was refused before Submit and certainly did not
	// run. class is nil if it could not be determined.
	Refused(customer *catalog.Customer, class *catalog.Class, id string, err *verdict.Error)
	// Find returns the answer that this instance holds under a customer's id.
	Find(customer, id string) (*answers.Log, bool)
	// Home returns the address of the instance that an id is bound to, and whether it
	// is this one. For an id that no instance minted, the error has the reason
	// unbound_key.
	Home(id string) (address string, local bool, err *verdict.Error)
	// Directory returns the instances a customer should use.
	Directory(customer *catalog.Customer) callerapi.Directory
}

// Config configures a Server. Zero values are replaced by the defaults below.
type Config struct {
	// HeaderBytes is the maximum size of a request's header.
	HeaderBytes int
	// BodyBytes is the maximum size of a request's body.
	BodyBytes int
	// Connections is the maximum number of open connections that are served.
	Connections int
	// ReadTimeout bounds the time in which a caller must send a request.
	ReadTimeout time.Duration
	// IdleTimeout bounds the time between two requests on a connection.
	IdleTimeout time.Duration
	// WriteStall bounds the time without write progress on a connection.
	WriteStall time.Duration
	// HomeCheckInterval is the time between two checks that the home of a relayed request
	// is still reachable.
	HomeCheckInterval time.Duration
	// Inbound counts connections, and what requests hold; nil means that they are not counted.
	Inbound *inbound.Conns
	// Dial connects to another instance; nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Now returns the time of a request's arrival; nil means monotime.Now.
	Now func() monotime.Instant
	// WallClock returns the creation time written in answers; nil means time.Now.
	WallClock func() time.Time
	// Log receives panics and messages of the HTTP server; nil means no logging.
	Log *zap.Logger
}

// Defaults of Config. Larger values let slow or lost callers and lost homes occupy
// connections and memory for longer; smaller ones refuse or disconnect working callers.
// What all requests hold together is bounded by Inbound.
const (
	defaultHeaderBytes       = 16 << 10
	defaultBodyBytes         = 4 << 20
	defaultConnections       = 4096
	defaultReadTimeout       = 10 * time.Second
	defaultIdleTimeout       = 75 * time.Second
	defaultWriteStall        = 15 * time.Second
	defaultHomeCheckInterval = time.Second
	// Callers wait this long for an unreachable home; a shorter time makes a busy home
	// look unreachable.
	relayDialTimeout = 2 * time.Second
)

func (c Config) withDefaults() Config {
	c.HeaderBytes = cmp.Or(c.HeaderBytes, defaultHeaderBytes)
	c.BodyBytes = cmp.Or(c.BodyBytes, defaultBodyBytes)
	c.Connections = cmp.Or(c.Connections, defaultConnections)
	c.ReadTimeout = cmp.Or(c.ReadTimeout, defaultReadTimeout)
	c.IdleTimeout = cmp.Or(c.IdleTimeout, defaultIdleTimeout)
	c.WriteStall = cmp.Or(c.WriteStall, defaultWriteStall)
	c.HomeCheckInterval = cmp.Or(c.HomeCheckInterval, defaultHomeCheckInterval)
	if c.Dial == nil {
		c.Dial = dialTCP
	}
	if c.Now == nil {
		c.Now = monotime.Now
	}
	if c.WallClock == nil {
		c.WallClock = time.Now
	}
	if c.Log == nil {
		c.Log = zap.NewNop()
	}
	return c
}

// Server is the HTTP server for callers.
type Server struct {
	cfg     Config
	backend Backend
	http    *fasthttp.Server
	ctx     context.Context
	cancel  context.CancelFunc
	counts  counters
}

// NewServer returns a Server that is not listening yet.
func NewServer(cfg Config, backend Backend) *Server {
	s := &Server{cfg: cfg.withDefaults(), backend: backend, counts: newCounters()}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.http = &fasthttp.Server{
		Handler:                      s.handle,
		ErrorHandler:                 s.refuseUnreadable,
		HeaderReceived:               s.limitBody,
		Name:                         "basilrudder",
		Concurrency:                  s.cfg.Connections + excessConnections,
		ReadBufferSize:               s.cfg.HeaderBytes,
		MaxRequestBodySize:           s.cfg.BodyBytes,
		StreamRequestBody:            true, // readBody counts the memory that it takes
		ReadTimeout:                  s.cfg.ReadTimeout,
		IdleTimeout:                  s.cfg.IdleTimeout,
		CloseOnShutdown:              true,
		DisablePreParseMultipartForm: true,
		Logger:                       inbound.DebugLogger{Log: s.cfg.Log},
	}
	if s.cfg.Inbound != nil {
		s.http.ConnState = s.cfg.Inbound.FastStateChanged
	}
	inbound.FreeHeads(s.http)
	return s
}

// Serve accepts connections until Shutdown.
func (s *Server) Serve(ln net.Listener) error {
	if s.cfg.Inbound != nil {
		ln = s.cfg.Inbound.Listener(ln)
	}
	return s.http.Serve(&listener{Listener: ln, server: s})
}

// Shutdown stops accepting connections, closes idle ones, and waits for requests in
// flight until ctx ends. Requests still in flight then are refused with the verdict
// "may have run", and the error of the wait is returned.
func (s *Server) Shutdown(ctx context.Context) error {
	err := s.http.ShutdownWithContext(ctx)
	s.cancel()
	if err == nil {
		return nil
	}
	refusalCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownRefusalTimeout)
	defer cancel()
	_ = s.http.ShutdownWithContext(refusalCtx)
	return err
}

// shutdownRefusalTimeout bounds the time for writing refusals to callers whose requests
// a shutdown interrupts. If it is too short, callers lose the connection without a
// verdict; it is added to the time of a forced shutdown.
const shutdownRefusalTimeout = 500 * time.Millisecond

// Vars returns the counters and gauges for expvar.
func (s *Server) Vars() *expvar.Map {
	return s.counts.vars
}

// counters holds the metrics of one server.
type counters struct {
	vars               *expvar.Map
	connections        *expvar.Int
	connectionsRefused *expvar.Int
	callersGone        *expvar.Int
	relayed            *expvar.Int
	refusals           *expvar.Map
}

func newCounters() counters {
	c := counters{
		vars:               new(expvar.Map).Init(),
		connections:        new(expvar.Int),
		connectionsRefused: new(expvar.Int),
		callersGone:        new(expvar.Int),
		relayed:            new(expvar.Int),
		refusals:           new(expvar.Map).Init(),
	}
	c.vars.Set("connections", c.connections)
	c.vars.Set("connections_refused", c.connectionsRefused)
	c.vars.Set("callers_gone", c.callersGone)
	c.vars.Set("relayed", c.relayed)
	c.vars.Set("refusals_by_reason", c.refusals)
	return c
}
