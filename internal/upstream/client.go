// Package upstream calls model engines and application servers over HTTP/1.1.
//
// The client owns its connections, because the verdict on a failed request
// depends on whether a byte of it may have left: "not run" is only said when
// the connection took no byte or the upstream itself said so. Nothing that may
// have run is ever sent again here. docs/design/upstream-verdicts.md tells why.
package upstream

import (
	"cmp"
	"context"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

// Defaults of Config, used for fields left zero.
const (
	DefaultConnectTimeout    = time.Second
	DefaultWriteTimeout      = 2 * time.Second
	DefaultFirstByteTimeout  = 2 * time.Second
	DefaultFirstTokenTimeout = 30 * time.Second
	DefaultTokenGapTimeout   = 2 * time.Second
	DefaultServiceTimeout    = 10 * time.Second
	DefaultIdleTimeout       = 15 * time.Second
	DefaultIdlePerAddress    = 32
	DefaultMaxAnswer         = 8 << 20
)

const (
	// maxHeaderBytes bounds the header of an answer in bytes.
	maxHeaderBytes = 16 << 10
	// maxControlBytes bounds the answers of control calls in bytes.
	maxControlBytes = 1 << 20
	// maxRefusalBytes bounds the body of a refusal in bytes.
	maxRefusalBytes = 64 << 10
	// maxMessageBytes bounds what of a refusal's body goes into an error.
	maxMessageBytes = 200
	// bodyEndTimeout bounds the wait for the end of a body whose content is
	// complete; it only decides whether the connection can be used again.
	bodyEndTimeout = 50 * time.Millisecond
	userAgent      = "basilrudder"
)

// Target is where a request goes.
type Target struct {
	// Address is the host and port of the server.
	Address string
	// Server names the server in errors.
	Server string
	// Engine of the server; empty for application servers.
	Engine string
}

// Config of a Client. Zero fields take the defaults above.
type Config struct {
	// Dial opens a connection; nil for TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// ConnectTimeout bounds opening a connection.
	ConnectTimeout time.Duration
	// WriteTimeout bounds writing a request.
	WriteTimeout time.Duration
	// FirstByteTimeout bounds the wait for the header of an answer. Engines
	// send it when they accept a request, before the first token.
	FirstByteTimeout time.Duration
	// FirstTokenTimeout bounds the wait for the first event of a stream.
	FirstTokenTimeout time.Duration
	// TokenGapTimeout bounds the silence after any event or comment.
	TokenGapTimeout time.Duration
	// ServiceTimeout bounds the answer of an application server.
	ServiceTimeout time.Duration
	// IdleTimeout is how long an unused connection is kept.
	IdleTimeout time.Duration
	// IdlePerAddress is how many unused connections are kept.
	IdlePerAddress int
	// MaxAnswer bounds the answer of an application server in bytes.
	MaxAnswer int
}

func (c Config) withDefaults() Config {
	if c.Dial == nil {
		c.Dial = dialTCP
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

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", address)
}

// Client calls upstreams. It is safe for concurrent use.
type Client struct {
	cfg      Config
	pool     pool
	counters Counters
}

// New returns a Client.
func New(cfg Config) *Client {
	cfg = cfg.withDefaults()
	return &Client{cfg: cfg, pool: newPool(cfg.IdlePerAddress, cfg.IdleTimeout)}
}

// Counters returns the counts of the calls, to be published by expvar.
func (c *Client) Counters() *Counters {
	return &c.counters
}

// CloseIdle closes the unused connections.
func (c *Client) CloseIdle() {
	c.pool.closeAll()
}

// newRequest fills what every request has. The caller releases it.
func newRequest(target Target, method, path string) *fasthttp.Request {
	req := fasthttp.AcquireRequest()
	req.Header.SetMethod(method)
	req.Header.SetRequestURI(path)
	req.Header.SetHost(target.Address)
	req.Header.SetUserAgent(userAgent)
	return req
}
