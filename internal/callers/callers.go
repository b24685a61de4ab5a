// Package callers is the HTTP interface for callers: chat completions in the
// shape that callers of language models expect, plain service calls, the
// directory, and answers fetched or resumed by request id.
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
	"basilrudder/internal/monotime"
	"basilrudder/internal/schema/callerapi"
	"basilrudder/internal/verdict"
)

// Header fields of requests and responses.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderClass     = "X-Request-Class"
	HeaderVerdict   = "X-Verdict"
	// HeaderRelayed marks a request that another instance passed on. It must not
	// be passed on again, or two instances that each hold the other for its home
	// would send it back and forth.
	HeaderRelayed = "X-Basilrudder-Relayed"
	// HeaderShouldRetry tells client libraries not to retry by themselves.
	HeaderShouldRetry = "X-Should-Retry"
)

// Request is a call to be served.
type Request struct {
	// ID given by the caller; empty to have one minted.
	ID string
	// Customer the caller belongs to.
	Customer *catalog.Customer
	// Class of the request.
	Class *catalog.Class
	// Body to send upstream.
	Body []byte
	// PromptTokens as stated by the caller, or estimated from the body.
	PromptTokens int
	// MaxTokens bounds the answer; 0 when neither the caller nor the class does.
	MaxTokens int
	// Prefix identifies the leading part of the prompt, for cache affinity.
	Prefix uint64
	// Service is set for a call to a plain service.
	Service *ServiceRequest
	// Fingerprint tells different requests under one id apart.
	Fingerprint uint64
	// Arrived is when the request had been read.
	Arrived monotime.Instant
}

// ServiceRequest is the HTTP part of a call to a plain service.
type ServiceRequest struct {
	// Method of the call.
	Method string
	// Path and query as the service sees them.
	Path string
	// ContentType of the body.
	ContentType string
}

// Backend serves the requests. Its methods are called from many goroutines.
type Backend interface {
	// Catalog returns the configuration in force.
	Catalog() *catalog.Catalog
	// Submit starts a request and returns its answer and id. The same customer
	// and id give the same answer. ctx ends with the server, not with the caller.
	Submit(ctx context.Context, request *Request) (*answers.Log, string, *verdict.Error)
	// CallerGone tells that the last connection that followed an answer is gone
	// before the end of it was written. A caller may come back for the answer.
	CallerGone(customer *catalog.Customer, id string)
	// Delivered tells that the end of an answer, whole or refused, was written to
	// a caller's connection. It may be called more than once for an id.
	Delivered(customer *catalog.Customer, id string)
	// Refused tells of a request that was refused before Submit and surely did
	// not run; class is nil when it is not known.
	Refused(customer *catalog.Customer, class *catalog.Class, id string, err *verdict.Error)
	// Find returns the answer under an id of this instance.
	Find(customer, id string) (*answers.Log, bool)
	// Home tells which instance an id is bound to. The error has the reason
	// unbound_key for an id that no instance minted.
	Home(id string) (address string, local bool, err *verdict.Error)
	// Directory returns the instances a customer should use.
	Directory(customer *catalog.Customer) callerapi.Directory
}

// Config bounds a Server. Zero values take the defaults below.
type Config struct {
	// HeaderBytes bounds a request's header.
	HeaderBytes int
	// BodyBytes bounds a request's body.
	BodyBytes int
	// Connections bounds the open connections of callers.
	Connections int
	// ReadTimeout is the time a caller has to send a request.
	ReadTimeout time.Duration
	// IdleTimeout is the time a connection may wait for its next request.
	IdleTimeout time.Duration
	// WriteStall is the time a caller may accept no byte.
	WriteStall time.Duration
	// HomeCheckInterval is how often a relayed request checks that its home still lives.
	HomeCheckInterval time.Duration
	// Dial connects to another instance; nil for TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Now gives the instant of arrival; nil for monotime.Now.
	Now func() monotime.Instant
	// WallClock gives the time shown in answers; nil for time.Now.
	WallClock func() time.Time
	// Log takes what is no answer to a caller; nil for none.
	Log *zap.Logger
}

// Defaults of Config.
const (
	defaultHeaderBytes       = 16 << 10
	defaultBodyBytes         = 4 << 20
	defaultConnections       = 4096
	defaultReadTimeout       = 10 * time.Second
	defaultIdleTimeout       = 75 * time.Second
	defaultWriteStall        = 15 * time.Second
	defaultHomeCheckInterval = time.Second
	relayDialTimeout         = 2 * time.Second
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

// Server serves callers.
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
		ReadTimeout:                  s.cfg.ReadTimeout,
		IdleTimeout:                  s.cfg.IdleTimeout,
		CloseOnShutdown:              true,
		DisablePreParseMultipartForm: true,
		Logger:                       httpLogger{s.cfg.Log},
	}
	return s
}

// Serve accepts connections until Shutdown.
func (s *Server) Serve(ln net.Listener) error {
	return s.http.Serve(&listener{Listener: ln, server: s})
}

// Shutdown stops accepting, lets requests in flight finish until ctx ends, and
// closes idle connections. What is in flight then is refused as "may have run",
// and an error is returned.
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

// shutdownRefusalTimeout is the time to tell callers that their requests are cut off.
const shutdownRefusalTimeout = 500 * time.Millisecond

// Vars returns the counters and gauges, to be published by expvar.
func (s *Server) Vars() *expvar.Map {
	return s.counts.vars
}

// counters of one server.
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

// httpLogger passes fasthttp's messages on.
type httpLogger struct{ log *zap.Logger }

// Printf implements fasthttp.Logger.
func (l httpLogger) Printf(format string, args ...any) {
	l.log.Sugar().Debugf(format, args...)
}
