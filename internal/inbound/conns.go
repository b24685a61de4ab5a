package inbound

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"basilrudder/internal/descriptors"
	"basilrudder/internal/membudget"
	"basilrudder/internal/monotime"
)

const (
	// refusableConns is the number of connections of a kind beyond the budget whose requests
	// are refused with an answer. Further connections are closed.
	refusableConns = 32
	// fullShare is the share of the descriptors left for callers from which on new callers
	// are sent elsewhere.
	fullShare = 0.1
	// FullFor is for how long an instance counts as full after the last sign of it.
	FullFor = 3 * time.Second
	// incompleteGrace is how long an incomplete request is safe from being closed: the goroutine
	// that reads it may not have run since its bytes arrived.
	incompleteGrace = 100 * time.Millisecond
	// stalledAfter is how long a client may take to read maxWrite bytes of its answer before it
	// counts as one who doesn't read.
	stalledAfter = time.Second
	// maxMemoryWait bounds the wait for memory of requests that were given up.
	maxMemoryWait = 250 * time.Millisecond
	// connCost is what a connection takes for buffers and the stack of its goroutine, in bytes.
	connCost = 16 << 10
)

// Conns are the open connections of clients, of one kind. A request that began and was not yet
// read whole is incomplete. When there is no descriptor for another connection, the one that has
// been idle for longest is closed, and if none is idle the one with the oldest incomplete request:
// a client that sends slowly stays no longer than one that stops. Then comes the one that has not read
// its answer for longest. The same order, but for idle ones, decides whose request is given up when
// there is no memory for another one.
type Conns struct {
	kind   descriptors.Kind
	budget *descriptors.Budget
	memory *membudget.Budget
	log    *zap.Logger
	// lenders are of other kinds, whose connections beyond what their kind is guaranteed are
	// closed before those of this one.
	lenders []*Conns

	mu sync.Mutex
	// idle, incomplete and answering hold *Conn, the one that has been so for longest first.
	idle, incomplete, answering *list.List
	refusable                   int
	// pending is the memory in bytes of requests that were given up and whose goroutines have not yet
	// let go of it. freed is closed, and replaced, when memory is returned while waiters wait for it.
	pending int64
	freed   chan struct{}
	waiters int
	// fullAt is when few descriptors were left, and shedAt when a lack of memory was last logged; 0
	// for never.
	fullAt, shedAt monotime.Instant

	closedIdle, closedIncomplete, closedStalled, shed, refused atomic.Int64
}

// New returns the connections of a kind, which share the descriptors and the memory of the process.
// It must not become a lender of its lenders.
func New(kind descriptors.Kind, budget *descriptors.Budget, memory *membudget.Budget, log *zap.Logger, lenders ...*Conns) *Conns {
	return &Conns{kind: kind, budget: budget, memory: memory, log: log, lenders: lenders, idle: list.New(), incomplete: list.New(), answering: list.New(), freed: make(chan struct{})}
}

// Listener returns a listener whose connections are counted.
func (c *Conns) Listener(l net.Listener) net.Listener { return &listener{l, c} }

type listener struct {
	net.Listener
	conns *Conns
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.conns.admit(raw); c != nil {
			return c, nil
		}
		_ = raw.Close()
	}
}

// admit counts a connection, and returns nil if it can't be kept.
func (c *Conns) admit(raw net.Conn) *Conn {
	conn := &Conn{Conn: raw, conns: c, since: monotime.Now()}
	free := c.budget.Free(c.kind)
	c.mu.Lock()
	defer c.mu.Unlock()
	if float64(free) <= fullShare*float64(c.budget.Limit()) {
		c.becomeFull(monotime.Now())
	}
	for !c.take(conn) {
		if c.reclaim() || c.makeRoom() {
			continue
		}
		if c.refusable >= refusableConns {
			c.refused.Add(1)
			return nil
		}
		c.refusable++
		conn.refusable = true
		return conn
	}
	conn.element = c.idle.PushBack(conn)
	return conn
}

// take counts a further connection, and reports false if there is no descriptor or no memory for
// it; mu is held.
func (c *Conns) take(conn *Conn) bool {
	if !c.budget.Take(c.kind, 1) {
		return false
	}
	if !c.takeMemory(conn, connCost) {
		c.budget.Release(c.kind, 1)
		return false
	}
	return true
}

// becomeFull records that few descriptors are left; mu is held.
func (c *Conns) becomeFull(now monotime.Instant) {
	if !c.isFull(now) {
		c.log.Warn("descriptors_short", zap.Stringer("kind", c.kind), zap.Any("used", c.budget.Used()), zap.Int("limit", c.budget.Limit()))
	}
	c.fullAt = now
}

func (c *Conns) isFull(now monotime.Instant) bool {
	return c.fullAt != 0 && now.Sub(c.fullAt) < FullFor
}

// Full reports whether new clients should connect elsewhere.
func (c *Conns) Full() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isFull(monotime.Now())
}

// AnnounceFull tells peers while this instance is full.
func (c *Conns) AnnounceFull(announce func(time.Duration)) {
	if c.Full() {
		announce(FullFor)
	}
}

// move changes what a connection is used for; mu is held.
func (c *Conns) move(conn *Conn, to use) {
	if conn.element != nil {
		c.listOf(conn.current()).Remove(conn.element)
		conn.element = nil
	}
	conn.use.Store(int32(to))
	conn.since = monotime.Now()
	if l := c.listOf(to); l != nil && !conn.closed.Load() {
		conn.element = l.PushBack(conn)
	}
}

// listOf returns the list of the connections with a use; nil if there is none.
func (c *Conns) listOf(u use) *list.List {
	switch u {
	case idle:
		return c.idle
	case receiving:
		return c.incomplete
	case answering:
		return c.answering
	default:
		return nil
	}
}

// remove forgets a connection that was closed.
func (c *Conns) remove(conn *Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.giveUp(conn)
	c.freeMemory(conn, conn.held)
	c.uncount(conn)
}

// uncount returns the descriptor of a connection and what it takes itself; mu is held.
func (c *Conns) uncount(conn *Conn) {
	switch {
	case conn.detached:
	case conn.refusable:
		c.refusable--
	default:
		c.budget.Release(c.kind, 1)
		c.memory.Release(connCost)
	}
}

// StateChanged is the hook of an http.Server for the states of connections.
func (c *Conns) StateChanged(raw net.Conn, state http.ConnState) {
	conn := Of(raw)
	if conn == nil || conn.refusable {
		return
	}
	switch state {
	case http.StateActive:
		conn.begin(false)
	case http.StateIdle:
		conn.becomeIdle()
	}
}

// FastStateChanged is StateChanged for a fasthttp.Server.
func (c *Conns) FastStateChanged(raw net.Conn, state fasthttp.ConnState) {
	switch state {
	case fasthttp.StateActive:
		c.StateChanged(raw, http.StateActive)
	case fasthttp.StateIdle:
		c.StateChanged(raw, http.StateIdle)
	}
}
