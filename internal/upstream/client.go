// Package upstream calls model engines and application servers over HTTP/1.1.
//
// The client manages its own connections because the verdict on a failed request depends
// on whether any byte of it may have been sent. It reports "not run" only if the
// connection accepted no byte or the upstream itself stated that it did not start the
// request. A request that may have run is never sent again by this package; only
// idempotent control calls are. docs/design/upstream-verdicts.md gives the reasons.
package upstream

import (
	"cmp"
	"context"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"basilrudder/internal/netconn"
)

// Defaults of Config, used for fields that are zero. A longer timeout delays the detection
// of an unresponsive upstream.
const (
	// If shorter, connections over slow networks fail with the verdict "not run".
	DefaultConnectTimeout = time.Second
	// If shorter, large requests over slow networks fail with "may have run".
	DefaultWriteTimeout = 2 * time.Second
	// If shorter, requests that an engine accepts late fail with "may have run".
	DefaultFirstByteTimeout = 2 * time.Second
	// If shorter, requests fail while they wait in the queue of an engine that sends no
	// comments.
	DefaultFirstTokenTimeout = 30 * time.Second
	// If shorter than the longest time without a token or comment, streams of working
	// engines fail.
	DefaultTokenGapTimeout = 2 * time.Second
	// If shorter, calls fail that a slow application server would have answered.
	DefaultServiceTimeout = 10 * time.Second
	// If longer than an upstream keeps idle connections, more requests are written just as
	// it closes the connection and fail with "may have run".
	DefaultIdleTimeout = 15 * time.Second
	// With fewer, bursts of requests open new connections more often; with more, more
	// sockets stay open.
	DefaultIdlePerAddress = 32
	// In bytes. A larger answer fails with "ran"; the limit bounds the memory per call.
	DefaultMaxAnswer = 8 << 20
)

const (
	// maxHeaderBytes limits the header of an answer; a larger one fails the request. Each
	// connection has a read buffer of this size.
	maxHeaderBytes = 16 << 10
	// maxControlBytes limits the body of the answer to a control call. A larger body
	// fails the call; the limit bounds the memory per call.
	maxControlBytes = 1 << 20
	// maxRefusalBytes limits the body of an unsuccessful answer. If it is larger, the
	// error lacks the body and the connection is closed instead of being reused.
	maxRefusalBytes = 64 << 10
	// maxMessageBytes limits how much of that body is copied into the error message.
	// The message is part of refusals to callers; a larger limit makes them longer.
	maxMessageBytes = 200
	// bodyEndTimeout limits the wait for the end of a body whose content is complete. It
	// only decides whether the connection can be reused: if shorter, connections with a
	// late end are closed; if longer, a late end delays the return of a complete answer.
	bodyEndTimeout = 50 * time.Millisecond
	userAgent      = "basilrudder"
)

// Target identifies the upstream of a request.
type Target struct {
	// Address is the host and port of the server.
	Address string
	// Server is the name of the server in error messages.
	Server string
	// Engine is the name of the engine on the server; empty for application servers.
	Engine string
}

// Config configures a Client. Zero fields take the defaults above.
type Config struct {
	// Dial opens a connection; nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// ConnectTimeout limits the time to open a connection.
	ConnectTimeout time.Duration
	// WriteTimeout limits the time to write a request.
	WriteTimeout time.Duration
	// FirstByteTimeout limits the wait for the header of an answer. Engines send it when
	// they accept a request, before the first token.
	FirstByteTimeout time.Duration
	// FirstTokenTimeout limits the wait for the first event or comment of a stream.
	FirstTokenTimeout time.Duration
	// TokenGapTimeout limits the wait for further bytes after an event or comment. It
	// must exceed an engine's longest interval between them, or streams of working
	// engines fail. It may fire early by 1/deadlineSlackDivisor of its length.
	TokenGapTimeout time.Duration
	// ServiceTimeout limits the time until the whole answer of an application server is
	// read.
	ServiceTimeout time.Duration
	// IdleTimeout is how long an unused connection is kept.
	IdleTimeout time.Duration
	// IdlePerAddress is the maximum number of unused connections kept per address. When a
	// further connection becomes unused, the one unused for longest is closed.
	IdlePerAddress int
	// MaxAnswer limits the body of an application server's answer in bytes.
	MaxAnswer int
}

func (c Config) withDefaults() Config {
	if c.Dial == nil {
		c.Dial = netconn.Dial
	}
	c.ConnectTimeout = cmp.Or(c.ConnectTimeout, DefaultConnectTimeout)
	c.WriteTimeout = cmp.Or(c.WriteTimeout, DefaultWriteTimeout)
	c.FirstByteTimeout = cmp.Or(c.FirstByteTimeout, DefaultFirstByteTimeout)
	c.FirstTokenTimeout = cmp.Or(c.FirstTokenTimeout, DefaultFirstTokenTimeout)
	c.TokenGapTimeout = cmp.Or(c.TokenGapTimeout, DefaultTokenGapTimeout)
	c.ServiceTimeout = cmp.Or(c.ServiceTimeout, DefaultServiceTimeout)
	c.IdleTimeout = cmp.Or(c.IdleTimeout, DefaultIdleTimeout)
	c.IdlePerAddress = cmp.Or(c.IdlePerAddress, DefaultIdlePerAddress)
	c.MaxAnswer = cmp.Or(c.MaxAnswer, DefaultMaxAnswer)
	return c
}

// Client calls upstreams. It is safe for concurrent use.
type Client struct {
	cfg      Config
	pool     pool
	counters Counters
}

// New returns a Client with the given configuration.
func New(cfg Config) *Client {
	cfg = cfg.withDefaults()
	return &Client{cfg: cfg, pool: newPool(cfg.IdlePerAddress, cfg.IdleTimeout)}
}

// Counters returns the statistics of all calls, which can be published with expvar.
func (c *Client) Counters() *Counters {
	return &c.counters
}

// CloseIdle closes all unused connections.
func (c *Client) CloseIdle() {
	c.pool.closeAll()
}

// newRequest returns a request with the fields that all requests share. The caller must
// release it.
func newRequest(target Target, method, path string) *fasthttp.Request {
	req := fasthttp.AcquireRequest()
	req.Header.SetMethod(method)
	req.Header.SetRequestURI(path)
	req.Header.SetHost(target.Address)
	req.Header.SetUserAgent(userAgent)
	return req
}
