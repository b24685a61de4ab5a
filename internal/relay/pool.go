package relay

import (
	"bufio"
	"context"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"basilrudder/internal/descriptors"
	"basilrudder/internal/monotime"
	"basilrudder/internal/netconn"
	"basilrudder/internal/placement"
)

const (
	// ConnectTimeout bounds opening a direct connection to a server. Servers accept within
	// a few ms; an unresponsive or overcrowded one does not. A longer timeout would leave
	// too little time for another server to answer.
	ConnectTimeout = 300 * time.Millisecond
	// maxIdle is how long unused connections are kept if the server does not announce its
	// own timeout.
	maxIdle = 10 * time.Second
	// maxKeptIdle is how long one unused connection to each server is kept for targets with
	// KeepIdle if the server announces at least that timeout. In a fleet of 86 instances an
	// instance returns to a server after some 30 s.
	maxKeptIdle = 30 * time.Second
	// maxKept is the number of connections kept for longer than maxIdle: a sixth of the
	// descriptors of the smallest instance (3,075).
	maxKept = 512
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
	// limit bounds what reader reads from the server.
	limit  *netconn.LimitedReader
	target Target
	// via is the instance through which the connection goes; nil for a direct one.
	via *Via
	// received is when the last answer was received.
	received monotime.Instant
	// idleUntil is when the unused connection is closed, and keepUntil when it is closed if
	// it is the only idle one to the server; not before idleUntil.
	idleUntil, keepUntil monotime.Instant
	// reused is set once the connection carries a second request.
	reused bool
}

// reusable reports whether the idle connection still works as far as its socket tells.
func (c *conn) reusable() bool {
	if b, ok := c.Conn.(interface{ Buffered() int }); ok && b.Buffered() > 0 {
		return false
	}
	return netconn.IsReusable(c.Conn)
}

// dialFunc opens a connection to an address.
type dialFunc func(ctx context.Context, address string) (net.Conn, error)

// pool keeps the open connections to servers, by incarnation.
type pool struct {
	connector   Connector
	descriptors *descriptors.Budget
	// makeRoom closes connections of callers for one to a server, and reports whether it did.
	makeRoom func() bool
	// open holds, as a monotime.Instant by server, until when a direct idle connection to
	// it can be used. It is changed under mu and read without it.
	open sync.Map

	mu    sync.Mutex
	idle  map[string][]*conn
	count map[string]int // open connections, in use or idle
	// conns holds the connections to each server, in use or idle.
	conns map[string]map[*conn]struct{}
}

func newPool(connector Connector, budget *descriptors.Budget) *pool {
	return &pool{
		connector: connector, descriptors: budget, makeRoom: func() bool { return false }, idle: make(map[string][]*conn), count: make(map[string]int),
		conns: make(map[string]map[*conn]struct{}),
	}
}

// get returns a connection to the server for a request, preferably an idle one that still
// works. After an error nothing has been sent.
func (p *pool) get(ctx context.Context, target Target, work *placement.Work) (*conn, error) {
	if c := p.takeIdle(target, work); c != nil {
		return c, nil
	}
	if !p.reserve(target) {
		return nil, errPoolFull
	}
	raw, via, err := p.connector.Connect(ctx, target, work)
	if err != nil {
		p.release(target.ID)
		return nil, errors.Wrap(err, "connect")
	}
	limit := &netconn.LimitedReader{R: raw}
	c := &conn{
		Conn: raw, reader: bufio.NewReaderSize(limit, readBufferSize), limit: limit, target: target, via: via, received: monotime.Now(),
	}
	p.track(c)
	return c, nil
}

func (p *pool) takeIdle(target Target, work *placement.Work) *conn {
	now := monotime.Now()
	for {
		c := p.popIdle(target.ID, work)
		if c == nil {
			return nil
		}
		if now < c.keepUntil && c.reusable() && p.connector.Usable(target, c.via, c.received) {
			c.target, c.reused = target, true
			return c
		}
		p.discard(c)
	}
}

// popIdle removes and returns the newest idle connection that the request may use; nil if
// there is none. Reusing the newest one lets surplus connections reach their timeout.
func (p *pool) popIdle(server string, work *placement.Work) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[server]
	for i, c := range slices.Backward(list) {
		if c.via == nil || p.connector.Allowed(c.via, work) {
			p.idle[server] = slices.Delete(list, i, i+1)
			p.updateOpen(server)
			return c
		}
	}
	return nil
}

func (p *pool) reserve(target Target) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if target.MaxConns > 0 && p.count[target.ID] >= target.MaxConns {
		return false
	}
	if !p.descriptors.Take(descriptors.Servers, 1) && !p.takeFromIdle() &&
		!(p.makeRoom() && p.descriptors.Take(descriptors.Servers, 1)) {
		return false
	}
	p.count[target.ID]++
	return true
}

// takeFromIdle takes the descriptor of the connection that has been idle for longest. It
// reports false if none is idle; mu is held.
func (p *pool) takeFromIdle() bool {
	var oldest *conn
	for _, list := range p.idle {
		if len(list) > 0 && (oldest == nil || list[0].received < oldest.received) {
			oldest = list[0]
		}
	}
	if oldest == nil {
		return false
	}
	server := oldest.target.ID
	p.idle[server] = slices.Delete(p.idle[server], 0, 1)
	p.updateOpen(server)
	p.close(oldest)
	p.untrack(oldest)
	p.uncount(server)
	return true
}

func (p *pool) release(server string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.releaseLocked(server)
}

// releaseLocked is release where mu is held.
func (p *pool) releaseLocked(server string) {
	p.uncount(server)
	p.descriptors.Release(descriptors.Servers, 1)
}

// uncount counts one connection to a server less; mu is held.
func (p *pool) uncount(server string) {
	p.count[server]--
	if p.count[server] <= 0 {
		delete(p.count, server)
	}
}

// putIdle returns a connection to the pool after its answer was read completely.
// keepAlive is the value of the server's Keep-Alive header.
func (p *pool) putIdle(c *conn, keepAlive string) {
	idle, kept := maxIdle, maxIdle
	if timeout, ok := keepAliveTimeout(keepAlive); ok {
		idle = min(idle, timeout-idleReserve)
		kept = idle
		if c.target.KeepIdle && c.via == nil {
			kept = max(idle, min(maxKeptIdle, timeout-idleReserve))
		}
	}
	if idle <= 0 || c.reader.Buffered() > 0 || c.SetDeadline(time.Time{}) != nil {
		p.discard(c)
		return
	}
	c.received = monotime.Now()
	c.idleUntil, c.keepUntil = c.received.Add(idle), c.received.Add(kept)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[c.target.ID] = append(p.idle[c.target.ID], c)
	p.updateOpen(c.target.ID)
}

// updateOpen updates the entry of a server in open. It is called under mu after each change
// of the idle connections to the server.
func (p *pool) updateOpen(server string) {
	var longest *conn
	for _, c := range p.idle[server] {
		if c.via == nil && (longest == nil || c.keepUntil > longest.keepUntil) {
			longest = c
		}
	}
	if longest == nil {
		p.open.Delete(server)
		return
	}
	p.open.Store(server, longest.keepUntil)
}

// connected reports whether there is an idle direct connection to a server. It does not
// block. Connections through peers don't count, because not every request may use them. The
// server may have closed the connection in the meantime; then a new one is opened.
func (p *pool) connected(server string) bool {
	until, ok := p.open.Load(server)
	return ok && monotime.Now() < until.(monotime.Instant)
}

// discard closes a connection, idle or in use.
func (p *pool) discard(c *conn) {
	p.close(c)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.untrack(c)
	p.releaseLocked(c.target.ID)
}

func (p *pool) close(c *conn) {
	// An error means that it was closed already.
	_ = c.Close()
	if c.via != nil {
		p.connector.Closed(c.via)
	}
}

// sweep closes idle connections that reached their timeout or whose server is not needed
// any more.
func (p *pool) sweep(needed func(server string) bool) {
	now := monotime.Now()
	var expired []*conn
	kept := 0
	p.mu.Lock()
	for server, list := range p.idle {
		remaining := list[:0]
		for i, c := range list {
			until := c.idleUntil
			if now >= until && i == len(list)-1 && kept < maxKept {
				until = c.keepUntil
				kept++
			}
			if now < until && needed(server) && p.connector.Usable(c.target, c.via, c.received) {
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
		p.updateOpen(server)
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
