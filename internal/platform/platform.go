// Package platform reads the configuration service: its watch, its values and
// the instance list. The service can only be read, counts each call, and may be
// down, slow, silent or stale; the client bounds the time and size of each
// answer and leaves it to its user what to believe. Its way of reading serves the
// users' platform as well, see the package platform at the root.
package platform

import (
	"context"
	"net"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"basilrudder/internal/schema/platformapi"
)

// Paths and parameters of the protocol, see docs/PROTOCOLS.md.
const (
	// ManifestKey is the key of the manifest among the values.
	ManifestKey = "manifest"

	valuesPath     = "/v1/values/"
	watchPath      = "/v1/watch"
	instancesPath  = "/v1/instances"
	paramRevision  = "revision"
	paramInstances = "instances"
	paramTimeout   = "timeout_ms"
)

const (
	// MaxValueBytes is the size of a value; a longer answer is an error.
	MaxValueBytes = 1 << 20
	// DefaultTimeout of one read.
	DefaultTimeout = time.Second

	maxConnections = 16
	maxIdleTime    = 30 * time.Second
	// maxAttempts is two, because a kept connection may have been closed by the
	// service; every call counts at the service, so there are no more.
	maxAttempts = 2
)

// Errors of the client.
var (
	// ErrNotFound says that the service holds no such value.
	ErrNotFound = errors.New("platform: no such value")
	// ErrUnavailable says that the service refused or did not answer in time.
	ErrUnavailable = errors.New("platform: unavailable")
	// ErrInvalid says that an answer breaks the protocol.
	ErrInvalid = errors.New("platform: invalid answer")
)

// Config of a Client.
type Config struct {
	// Address is host and port of the service.
	Address string
	// Timeout of one read, and of a watch beyond its wait; 0 for the default.
	Timeout time.Duration
	// MaxBytes of an answer; 0 for MaxValueBytes.
	MaxBytes int
	// Header is the name of a header whose value each Answer tells; empty for none.
	Header string
	// Dial opens a connection; nil for TCP.
	Dial func(address string) (net.Conn, error)
}

// Client reads the service. It is safe for concurrent use.
type Client struct {
	timeout time.Duration
	address string
	header  string
	http    *fasthttp.HostClient
}

// New returns a client; it opens no connection yet.
func New(cfg Config) *Client {
	if cfg.Timeout <= 0 {
		cfg.Timeout = DefaultTimeout
	}
	if cfg.MaxBytes <= 0 {
		cfg.MaxBytes = MaxValueBytes
	}
	host := &fasthttp.HostClient{
		Addr:                      cfg.Address,
		MaxConns:                  maxConnections,
		MaxIdleConnDuration:       maxIdleTime,
		MaxResponseBodySize:       cfg.MaxBytes,
		MaxIdemponentCallAttempts: maxAttempts,
		DisablePathNormalizing:    true,
		NoDefaultUserAgentHeader:  true,
	}
	if cfg.Dial != nil {
		host.Dial = cfg.Dial
	} else {
		host.Dial = func(address string) (net.Conn, error) {
			return fasthttp.DialTimeout(address, cfg.Timeout)
		}
	}
	return &Client{timeout: cfg.Timeout, address: cfg.Address, header: cfg.Header, http: host}
}

// Watch waits at the service for up to wait until it has a newer revision or a
// newer instance list than given. Nothing newer is nil without an error.
func (c *Client) Watch(ctx context.Context, revision uint64, instances int, wait time.Duration) (*platformapi.WatchAnswer, error) {
	query := url.Values{}
	query.Set(paramRevision, strconv.FormatUint(revision, 10))
	query.Set(paramInstances, strconv.Itoa(instances))
	query.Set(paramTimeout, strconv.FormatInt(wait.Milliseconds(), 10))
	answer, err := c.Get(ctx, watchPath+"?"+query.Encode(), wait+c.timeout)
	if err != nil {
		return nil, err
	}
	if answer.Status == fasthttp.StatusNoContent {
		return nil, nil
	}
	if err := CheckStatus(answer.Status); err != nil {
		return nil, err
	}
	return decodeWatch(answer.Body)
}

// Manifest reads the manifest as it is published.
func (c *Client) Manifest(ctx context.Context) ([]byte, error) {
	return c.Value(ctx, ManifestKey)
}

// Value reads one value.
func (c *Client) Value(ctx context.Context, key string) ([]byte, error) {
	if !validKey(key) {
		return nil, errors.Wrapf(ErrInvalid, "key %q", key)
	}
	answer, err := c.Get(ctx, valuesPath+url.PathEscape(key), c.timeout)
	if err != nil {
		return nil, err
	}
	if err := CheckStatus(answer.Status); err != nil {
		return nil, err
	}
	return answer.Body, nil
}

// Instances reads the instance list, which lags behind the truth. Entries that
// break the protocol are left out, so that one of them does not hide the rest;
// skipped counts them.
func (c *Client) Instances(ctx context.Context) (list *platformapi.InstanceList, skipped int, err error) {
	answer, err := c.Get(ctx, instancesPath, c.timeout)
	if err != nil {
		return nil, 0, err
	}
	if err := CheckStatus(answer.Status); err != nil {
		return nil, 0, err
	}
	return decodeInstances(answer.Body)
}

// validKey refuses a key that servers would resolve to another path; keys come
// from a manifest, and one could otherwise name the instance list.
func validKey(key string) bool {
	for part := range strings.SplitSeq(key, "/") {
		if part == "" || part == "." || part == ".." {
			return false
		}
	}
	return true
}

// CheckStatus returns nil for an answer, ErrNotFound, or ErrUnavailable.
func CheckStatus(status int) error {
	switch status {
	case fasthttp.StatusOK:
		return nil
	case fasthttp.StatusNotFound:
		return ErrNotFound
	default:
		return errors.Wrapf(ErrUnavailable, "status %d", status)
	}
}

// Answer of the service.
type Answer struct {
	Status int
	Body   []byte
	// Header is the value of Config.Header; empty when the answer has none.
	Header string
}

// outcome is that of one read.
type outcome struct {
	answer Answer
	err    error
}

// Get reads a path with its query. It returns when ctx ends, though the read itself goes
// on until its timeout.
func (c *Client) Get(ctx context.Context, path string, timeout time.Duration) (Answer, error) {
	if err := ctx.Err(); err != nil {
		return Answer{}, errors.Wrap(err, "platform")
	}
	done := make(chan outcome, 1)
	go func() {
		answer, err := c.read(path, timeout)
		done <- outcome{answer, err}
	}()
	select {
	case <-ctx.Done():
		return Answer{}, errors.Wrap(ctx.Err(), "platform")
	case got := <-done:
		return got.answer, got.err
	}
}

func (c *Client) read(path string, timeout time.Duration) (Answer, error) {
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + c.address + path)
	if err := c.http.DoTimeout(req, resp, timeout); err != nil {
		// A connection that went silent costs one timeout. Others kept open may
		// be dead by the same cause and would cost one each, while new ones work.
		c.http.CloseIdleConnections()
		return Answer{}, errors.Wrap(errors.Join(ErrUnavailable, err), "read")
	}
	answer := Answer{Status: resp.StatusCode(), Body: append([]byte(nil), resp.Body()...)}
	if c.header != "" {
		answer.Header = string(resp.Header.Peek(c.header))
	}
	return answer, nil
}
