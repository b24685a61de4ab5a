// Package platform is a client of the configuration service: its watch, its values and
// the instance list. The service is read-only, counts each call, and may be down, slow,
// unresponsive or stale. The client bounds the time and size of each answer; the caller
// decides which answers to accept. The same client reads the users' platform, see package
// platform at the repository root.
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
	// MaxValueBytes is the maximum size of a value. A longer answer is an error: a lower
	// limit makes larger values unreadable, a higher one costs memory per read.
	MaxValueBytes = 1 << 20
	// DefaultTimeout is the timeout of a read. A shorter one abandons reads of a slow
	// service, a longer one prolongs the wait on an unresponsive connection.
	DefaultTimeout = time.Second

	// maxConnections bounds the concurrent reads; further ones fail at once.
	maxConnections = 16
	// maxIdleTime is how long an unused connection is kept. Beyond the service's own limit
	// the connection is already closed, and the next read needs a second attempt.
	maxIdleTime = 30 * time.Second
	// maxAttempts is two because the service may have closed a kept connection. It is no
	// more because the service counts every call.
	maxAttempts = 2
)

// Errors of the client.
var (
	// ErrNotFound reports that the service has no such value.
	ErrNotFound = errors.New("platform: no such value")
	// ErrUnavailable reports that the service refused or did not answer within the
	// timeout.
	ErrUnavailable = errors.New("platform: unavailable")
	// ErrInvalid reports an answer or key that violates the protocol.
	ErrInvalid = errors.New("platform: invalid answer")
)

// Config configures a Client.
type Config struct {
	// Address is the host and port of the service.
	Address string
	// Timeout bounds one read, and a watch beyond its wait; 0 for DefaultTimeout.
	Timeout time.Duration
	// MaxBytes is the maximum size of an answer; 0 for MaxValueBytes.
	MaxBytes int
	// Header is the response header whose value each Answer contains; empty for none.
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

// New returns a client without opening a connection.
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

// Watch waits at the service for up to wait until it has a newer revision or instance
// list than given. If there is nothing newer, it returns nil without an error.
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

// Manifest reads the currently published manifest.
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

// Instances reads the instance list, which may be out of date. Entries that violate the
// protocol are omitted, so that one of them does not hide the others; skipped counts
// them.
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

// validKey rejects keys that a server would resolve to another path. Keys come from a
// manifest and could otherwise address the instance list.
func validKey(key string) bool {
	for part := range strings.SplitSeq(key, "/") {
		if part == "" || part == "." || part == ".." {
			return false
		}
	}
	return true
}

// CheckStatus returns nil for status 200, ErrNotFound for 404 and ErrUnavailable
// otherwise.
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

// Answer is an answer of the service.
type Answer struct {
	Status int
	Body   []byte
	// Header is the value of the header named in Config.Header; empty if absent.
	Header string
}

// outcome is the result of one read.
type outcome struct {
	answer Answer
	err    error
}

// Get reads a path with its query. It returns when ctx ends, but the read itself
// continues until its timeout.
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
		// An unresponsive connection costs one timeout. Other idle connections may be
		// dead for the same reason and would cost one timeout each, while new connections
		// work.
		c.http.CloseIdleConnections()
		return Answer{}, errors.Wrap(errors.Join(ErrUnavailable, err), "read")
	}
	answer := Answer{Status: resp.StatusCode(), Body: append([]byte(nil), resp.Body()...)}
	if c.header != "" {
		answer.Header = string(resp.Header.Peek(c.header))
	}
	return answer, nil
}
