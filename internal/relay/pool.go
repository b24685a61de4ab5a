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
	// connectTimeout bounds opening a connection to a server. Servers accept within a few
	// ms; an unresponsive or overcrowded one does not. A longer timeout would leave too
	// little time for another server to answer.
	connectTimeout = 300 * time.Millisecond
	// maxIdle is how long unused connections are kept if the server does not announce its
	// own timeout.
	maxIdle = 10 * time.Second
	// idleReserve is the margin between this side's idle timeout and the server's.
	// Without it a request could be sent on a connection that the server is closing.
	idleReserve = 700 * time.Millisecond
	// readBufferSize is the size of a connection's read buffer. It holds an answer of the
	// usual size, so that one read suffices.
	readBufferSize = 8 << 10
)

var errPoolFull = errors.New("relay: all connections to the server are in use")

// conn is a connection to a server, used by one request at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	server string
	// idleUntil is when the unused connection is closed.
	idleUntil monotime.Instant
}

// dialFunc opens a connection to an address.
type dialFunc func(ctx context.Context, address string) (net.Conn, error)

// pool keeps the open connections to servers, by incarnation.
type pool struct {
	dial dialFunc

	mu    sync.Mutex
	idle  map[string][]*conn
	count map[string]int // open connections, in use or idle
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

// get returns a connection to the server, preferably an idle one that still works. After
// an error nothing has been sent.
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
		// Reusing the newest one lets surplus connections reach their timeout.
		c := list[len(list)-1]
		p.idle[server] = list[:len(list)-1]
		p.mu.Unlock()
		if now < c.idleUntil && netconn.IsReusable(c.Conn) {
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

// putIdle returns a connection to the pool after its answer was read completely.
// keepAlive is the value of the server's Keep-Alive header.
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

// discard closes a connection, idle or in use.
func (p *pool) discard(c *conn) {
	// An error means that it was closed already.
	_ = c.Close()
	p.release(c.server)
}

// sweep closes idle connections that reached their timeout or whose server is not needed
// any more.
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

// keepAliveTimeout parses the timeout parameter, in seconds, of a Keep-Alive header.
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
