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
	"basilrudder/internal/timer"
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

// reclaim closes a connection of another kind that exceeds its guarantee, and reports whether
// there was one.
func (c *Conns) reclaim() bool {
	for _, l := range c.lenders {
		l.mu.Lock()
		closed := c.budget.ExceedsGuarantee(l.kind) && l.makeRoom()
		l.mu.Unlock()
		if closed {
			return true
		}
	}
	return false
}

// makeRoom closes the connection that is needed least, and reports whether there was one; mu is
// held.
func (c *Conns) makeRoom() bool {
	now := monotime.Now()
	return c.evict(c.idle, now, &c.closedIdle) || c.evict(c.incomplete, now.Add(-incompleteGrace), &c.closedIncomplete) ||
		c.closeStalled(now.Add(-stalledAfter), 0)
}

// closeStalled closes the connection whose client has not read its answer for longest, if that is so
// since an instant and it holds that much memory. It reports whether there was one; mu is held.
func (c *Conns) closeStalled(since monotime.Instant, held int64) bool {
	var stalled *Conn
	for e := c.answering.Front(); e != nil; e = e.Next() {
		conn := e.Value.(*Conn)
		at := monotime.Instant(conn.writing.Load())
		if at != 0 && at <= since && conn.held >= held {
			stalled, since = conn, at
		}
	}
	if stalled == nil {
		return false
	}
	c.giveUp(stalled)
	c.closedStalled.Add(1)
	return c.drop(stalled)
}

// MakeRoom closes the connection that is needed least for the descriptor of another kind, if this
// kind exceeds its guarantee. It reports whether there was one.
func (c *Conns) MakeRoom() bool {
	if c.reclaim() {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.budget.ExceedsGuarantee(c.kind) && c.makeRoom()
}

// evict closes the first connection of a list if it has been there since an instant, and
// reports whether it did; mu is held.
func (c *Conns) evict(from *list.List, since monotime.Instant, count *atomic.Int64) bool {
	for e := from.Front(); e != nil; e = from.Front() {
		conn := e.Value.(*Conn)
		if conn.since > since {
			return false
		}
		c.giveUp(conn)
		if c.drop(conn) {
			count.Add(1)
			return true
		}
	}
	return false
}

// hold counts n further bytes for a connection; mu is held, and released while it waits.
func (c *Conns) hold(conn *Conn, n int64) bool {
	if !c.takeMemory(conn, n) {
		return false
	}
	conn.held += n
	return true
}

// takeMemory counts n further bytes. If there are none left, other requests are given up for conn, and
// it waits until they have let go of what they hold; mu is held, and released meanwhile.
func (c *Conns) takeMemory(conn *Conn, n int64) bool {
	deadline := time.Now().Add(maxMemoryWait)
	for conn.current() != evicted {
		if c.memory.Take(n, conn.held) {
			return true
		}
		for c.pending < n && c.freeFor(conn) {
		}
		if c.pending == 0 || !c.awaitFreed(time.Until(deadline)) {
			return false
		}
	}
	return false
}

// awaitFreed waits until memory is returned, and reports false if that takes longer than d; mu is held,
// and released meanwhile.
func (c *Conns) awaitFreed(d time.Duration) bool {
	freed := c.freed
	c.waiters++
	c.mu.Unlock()
	ok := timer.Sleep(d, freed)
	c.mu.Lock()
	c.waiters--
	return !ok // the sleep was interrupted
}

// freeFor gives up a request that holds memory which conn needs more, and reports whether there was
// one; mu is held.
func (c *Conns) freeFor(conn *Conn) bool {
	if victim := c.olderHolder(conn); victim != nil {
		c.shedRequest(victim)
		return true
	}
	return c.closeStalled(monotime.Now().Add(-stalledAfter), 1)
}

// olderHolder returns the connection with the oldest incomplete request that holds memory, if it
// began before that of conn; nil if there is none. mu is held.
func (c *Conns) olderHolder(conn *Conn) *Conn {
	for e := c.incomplete.Front(); e != nil && e.Value.(*Conn) != conn; e = e.Next() {
		if other := e.Value.(*Conn); other.held > 0 {
			return other
		}
	}
	return nil
}

// shedRequest gives up an incomplete request; mu is held. If its handler reads the body, that is
// interrupted so that the caller can be told; otherwise the connection is closed.
func (c *Conns) shedRequest(conn *Conn) {
	c.countShed()
	c.giveUp(conn)
	if conn.handled {
		_ = conn.Conn.SetReadDeadline(past) // fails only on a connection that is closed
	} else {
		c.drop(conn)
	}
}

// countShed counts a request that is given up for lack of memory; mu is held.
func (c *Conns) countShed() {
	shed := c.shed.Add(1)
	if now := monotime.Now(); c.shedAt == 0 || now.Sub(c.shedAt) >= FullFor {
		c.shedAt = now
		c.log.Warn("request_memory_short", zap.Stringer("kind", c.kind), zap.Int64("used", c.memory.Used()),
			zap.Int64("limit", c.memory.Limit()), zap.Int64("shed", shed))
	}
}

// giveUp takes a connection from those in use; mu is held. What its request holds counts until its
// goroutine has ended: many that were given up may wait for the processor.
func (c *Conns) giveUp(conn *Conn) {
	if conn.current() != evicted {
		c.move(conn, evicted)
		c.pending += conn.held
	}
}

// freeMemory counts n bytes that a connection holds as free; mu is held.
func (c *Conns) freeMemory(conn *Conn, n int64) {
	c.memory.Release(n)
	conn.held -= n
	if conn.current() == evicted {
		c.pending -= n
	}
	if c.waiters > 0 && n > 0 {
		close(c.freed)
		c.freed = make(chan struct{})
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

// CloseSlow closes the connections whose clients have taken longer than that to send the head of a
// request; 0 for any time.
func (c *Conns) CloseSlow(headTimeout time.Duration) {
	if headTimeout <= 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	since := monotime.Now().Add(-headTimeout)
	var next *list.Element
	for e := c.incomplete.Front(); e != nil && e.Value.(*Conn).since < since; e = next {
		next = e.Next()
		if conn := e.Value.(*Conn); !conn.handled {
			c.closedIncomplete.Add(1)
			c.giveUp(conn)
			c.drop(conn)
		}
	}
}

// drop closes a connection that is used no longer; mu is held. It reports false if that has been done.
func (c *Conns) drop(conn *Conn) bool {
	if conn.closed.Swap(true) {
		return false
	}
	c.uncount(conn)
	_ = conn.Conn.Close() // nothing is sent or read any more
	return true
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

// Metrics counts the connections of a kind that were ended for lack of descriptors, and the requests
// that were given up for lack of memory (shed).
type Metrics struct {
	ClosedIdle       int64 `json:"closed_idle"`
	ClosedIncomplete int64 `json:"closed_incomplete"`
	ClosedStalled    int64 `json:"closed_stalled"`
	Shed             int64 `json:"shed"`
	Refused          int64 `json:"refused"`
	Full             bool  `json:"full"`
}

// Metrics returns the counts so far.
func (c *Conns) Metrics() Metrics {
	return Metrics{
		ClosedIdle: c.closedIdle.Load(), ClosedIncomplete: c.closedIncomplete.Load(),
		ClosedStalled: c.closedStalled.Load(), Shed: c.shed.Load(), Refused: c.refused.Load(), Full: c.Full(),
	}
}
