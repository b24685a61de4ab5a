package relay

import (
	"bufio"
	"context"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"basilrudder/internal/monotime"
	"basilrudder/internal/netconn"
)

const (
	// connectTimeout bounds opening a connection to a server. Servers answer
	// within a few ms; one that is dark or crowded does not, and another one can
	// still serve the request in time.
	connectTimeout = 300 * time.Millisecond
	// maxIdle closes connections unused for this long where the server does not
	// say how long it keeps them.
	maxIdle = 10 * time.Second
	// idleReserve is kept between this side's idle timeout and the server's, so
	// that no request is sent on a connection that the server is closing.
	idleReserve = 700 * time.Millisecond
	// readBufferSize is the size of a connection's read buffer: an answer of the
	// usual size in one read.
	readBufferSize = 8 << 10
)

var errPoolFull = errors.New("relay: all connections to the server are in use")

// conn is a connection to a server. One request at a time uses it.
type conn struct {
	net.Conn
	reader *bufio.Reader
	server string
	// idleUntil is when an unused connection is closed.
	idleUntil monotime.Instant
}

// dialFunc opens a connection to an address.
type dialFunc func(ctx context.Context, address string) (net.Conn, error)

// pool keeps the open connections to servers, by incarnation.
type pool struct {
	dial dialFunc

	mu    sync.Mutex
	idle  map[string][]*conn
	count map[string]int // open, in use or not
}

func newPool(dial dialFunc) *pool {
	if dial == nil {
		dialer := &net.Dialer{Timeout: connectTimeout}
		dial = func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		}
	}
	return &pool{dial: dial, idle: make(map[string][]*conn), count: make(map[string]int)}
}

// get returns a connection to the server, a kept one where there is one that
// still works. An error means that nothing was sent.
func (p *pool) get(ctx context.Context, target Target) (*conn, error) {
	if c := p.takeIdle(target.ID); c != nil {
		return c, nil
	}
	if !p.reserve(target) {
		return nil, errPoolFull
	}
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	raw, err := p.dial(ctx, target.Address)
	if err != nil {
		p.release(target.ID)
		return nil, errors.Wrap(err, "connect")
	}
	return &conn{Conn: raw, reader: bufio.NewReaderSize(raw, readBufferSize), server: target.ID}, nil
}

func (p *pool) takeIdle(server string) *conn {
	now := monotime.Now()
	for {
		p.mu.Lock()
		list := p.idle[server]
		if len(list) == 0 {
			p.mu.Unlock()
			return nil
		}
		// The newest one, so that those beyond the need run into their timeout.
		c := list[len(list)-1]
		p.idle[server] = list[:len(list)-1]
		p.mu.Unlock()
		if now < c.idleUntil && netconn.Quiet(c.Conn) {
			return c
		}
		p.discard(c)
	}
}

func (p *pool) reserve(target Target) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if target.MaxConns > 0 && p.count[target.ID] >= target.MaxConns {
		return false
	}
	p.count[target.ID]++
	return true
}

func (p *pool) release(server string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.count[server]--
	if p.count[server] <= 0 {
		delete(p.count, server)
	}
}

// putIdle puts a connection back whose answer was read to its end. keepAlive is
// the value of the server's Keep-Alive header.
func (p *pool) putIdle(c *conn, keepAlive string) {
	idle := maxIdle
	if timeout, ok := keepAliveTimeout(keepAlive); ok {
		idle = min(idle, timeout-idleReserve)
	}
	if idle <= 0 || c.reader.Buffered() > 0 || c.SetDeadline(time.Time{}) != nil {
		p.discard(c)
		return
	}
	c.idleUntil = monotime.Now().Add(idle)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[c.server] = append(p.idle[c.server], c)
}

// discard closes a connection, also one in use.
func (p *pool) discard(c *conn) {
	// The connection may be closed already; there is nothing to tell anyone.
	_ = c.Close()
	p.release(c.server)
}

// sweep closes idle connections whose time is up, and those to servers that
// are not known any more.
func (p *pool) sweep(needed func(server string) bool) {
	now := monotime.Now()
	var expired []*conn
	p.mu.Lock()
	for server, list := range p.idle {
		remaining := list[:0]
		for _, c := range list {
			if now < c.idleUntil && needed(server) {
				remaining = append(remaining, c)
			} else {
				expired = append(expired, c)
			}
		}
		if len(remaining) == 0 {
			delete(p.idle, server)
		} else {
			p.idle[server] = remaining
		}
	}
	p.mu.Unlock()
	for _, c := range expired {
		p.discard(c)
	}
}

// keepAliveTimeout reads the timeout of a Keep-Alive header.
func keepAliveTimeout(header string) (time.Duration, bool) {
	for field := range strings.SplitSeq(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		if err != nil || seconds < 0 {
			return 0, false
		}
		return time.Duration(seconds * float64(time.Second)), true
	}
	return 0, false
}
