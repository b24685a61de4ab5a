package gateway

import (
	"container/list"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"basilrudder/internal/descriptors"
	"basilrudder/internal/monotime"
)

const (
	// refusableConns is the number of callers' connections beyond the budget whose requests
	// are refused with an answer. Further connections are closed.
	refusableConns = 32
	// fullShare is the share of the descriptors left for callers from which on new callers
	// are sent elsewhere.
	fullShare = 0.1
	// fullFor is for how long an instance counts as full after the last sign of it.
	fullFor = 3 * time.Second
	// maxLinger bounds the wait for a caller to close a connection whose end is that of a
	// complete answer, and maxLingerBytes what is read of later requests meanwhile.
	maxLinger      = 500 * time.Millisecond
	maxLingerBytes = 1 << 20
)

// callerConns are the connections of callers. When there is no descriptor for another one,
// the one that has been idle for longest is closed.
type callerConns struct {
	budget *descriptors.Budget
	log    *zap.Logger

	mu        sync.Mutex
	idle      *list.List // of *callerConn, the one that has been idle for longest first
	refusable int
	// fullAt is when few descriptors were left; 0 for never.
	fullAt monotime.Instant

	closedIdle, refused atomic.Int64
}

func newCallerConns(budget *descriptors.Budget, log *zap.Logger) *callerConns {
	return &callerConns{budget: budget, log: log, idle: list.New()}
}

// connUse is what a caller's connection is used for.
type connUse int32

const (
	connIdle connUse = iota
	connBusy
	// connEvicted connections were closed for others.
	connEvicted
)

// callerConn is the connection of a caller.
type callerConn struct {
	net.Conn
	conns *callerConns
	use   atomic.Int32 // a connUse
	// refusable connections are beyond the budget: their requests are refused.
	refusable bool
	closed    atomic.Bool
	// lingers means that the end of the connection is that of a complete answer.
	lingers atomic.Bool
	// element is the connection's place among the idle ones; nil if it is in use.
	element *list.Element
}

// Read implements net.Conn. A connection that is closed for another gives no further bytes:
// a request that was read and could not be answered would be lost.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.use.CompareAndSwap(int32(connIdle), int32(connBusy)) && connUse(c.use.Load()) == connEvicted {
		return 0, io.EOF // any other error would be answered as a bad request
	}
	return n, err
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	if c.closed.Swap(true) {
		return c.Conn.Close()
	}
	if c.lingers.Load() && c.CloseWrite() == nil {
		go c.linger()
		return nil
	}
	defer c.conns.remove(c)
	return c.Conn.Close()
}

// linger closes the connection once the caller has closed it. The kernel resets a connection that
// is closed with unread bytes, such as those of the caller's next request, and drops what it has
// not yet sent of the answer.
func (c *callerConn) linger() {
	defer c.conns.remove(c)
	if c.SetReadDeadline(time.Now().Add(maxLinger)) == nil {
		_, _ = io.CopyN(io.Discard, c.Conn, maxLingerBytes) // the connection is closed either way
	}
	_ = c.Conn.Close()
}

// SyscallConn implements syscall.Conn.
func (c *callerConn) SyscallConn() (syscall.RawConn, error) {
	if sc, ok := c.Conn.(syscall.Conn); ok {
		return sc.SyscallConn()
	}
	return nil, errNoSocket
}

// CloseWrite ends what is sent. The HTTP server does so to let a caller who still sends read
// the answer.
func (c *callerConn) CloseWrite() error {
	if socket, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return socket.CloseWrite()
	}
	return nil
}

// SetLinger sets what Close does with bytes that were not sent yet.
func (c *callerConn) SetLinger(seconds int) error {
	if socket, ok := c.Conn.(interface{ SetLinger(int) error }); ok {
		return socket.SetLinger(seconds)
	}
	return errNoSocket
}

var errNoSocket = errors.New("gateway: no socket")

// resetOnClose sets whether the connection of a request is reset when it is closed.
func resetOnClose(ctx context.Context, reset bool) error {
	conn, ok := ctx.Value(connKey{}).(*callerConn)
	if !ok {
		return errNoSocket
	}
	if reset {
		return conn.SetLinger(0)
	}
	conn.lingers.Store(true)
	return conn.SetLinger(-1)
}

// listener returns a listener whose connections are counted.
func (c *callerConns) listener(l net.Listener) net.Listener { return &callerListener{l, c} }

type callerListener struct {
	net.Listener
	conns *callerConns
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
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
func (c *callerConns) admit(raw net.Conn) *callerConn {
	conn := &callerConn{Conn: raw, conns: c}
	free := c.budget.Free(descriptors.Callers)
	c.mu.Lock()
	defer c.mu.Unlock()
	if float64(free) <= fullShare*float64(c.budget.Limit()) {
		c.becomeFull(monotime.Now())
	}
	for !c.budget.Take(descriptors.Callers, 1) {
		if c.evictIdle() {
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

// becomeFull records that few descriptors are left; mu is held.
func (c *callerConns) becomeFull(now monotime.Instant) {
	if !c.isFull(now) {
		c.log.Warn("descriptors_short", zap.Any("used", c.budget.Used()), zap.Int("limit", c.budget.Limit()))
	}
	c.fullAt = now
}

func (c *callerConns) isFull(now monotime.Instant) bool {
	return c.fullAt != 0 && now.Sub(c.fullAt) < fullFor
}

// full reports whether new callers should connect elsewhere.
func (c *callerConns) full() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isFull(monotime.Now())
}

// announceFull tells peers while this instance is full.
func (c *callerConns) announceFull(announce func(time.Duration)) {
	if c.full() {
		announce(fullFor)
	}
}

// evictIdle closes the connection that has been idle for longest, and reports whether there
// was one; mu is held.
func (c *callerConns) evictIdle() bool {
	for e := c.idle.Front(); e != nil; e = c.idle.Front() {
		conn := e.Value.(*callerConn)
		c.idle.Remove(e)
		conn.element = nil
		if !conn.use.CompareAndSwap(int32(connIdle), int32(connEvicted)) || conn.closed.Swap(true) {
			continue
		}
		c.closedIdle.Add(1)
		c.uncount(conn)
		_ = conn.Conn.Close()
		return true
	}
	return false
}

// remove forgets a connection that was closed.
func (c *callerConns) remove(conn *callerConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn.element != nil {
		c.idle.Remove(conn.element)
		conn.element = nil
	}
	c.uncount(conn)
}

// uncount returns the descriptor of a connection; mu is held.
func (c *callerConns) uncount(conn *callerConn) {
	if conn.refusable {
		c.refusable--
		return
	}
	c.budget.Release(descriptors.Callers, 1)
}

// changed records that a connection became idle or is in use again. It is the hook of the
// HTTP server.
func (c *callerConns) changed(raw net.Conn, state http.ConnState) {
	conn, ok := raw.(*callerConn)
	if !ok || conn.refusable || state != http.StateIdle && state != http.StateActive {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn.element != nil {
		c.idle.Remove(conn.element)
		conn.element = nil
	}
	if state == http.StateIdle && !conn.closed.Load() {
		conn.use.Store(int32(connIdle))
		conn.element = c.idle.PushBack(conn)
	}
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// refuses reports whether a request came over a connection beyond the budget, or one that was
// closed for another while the request was buffered.
func (c *callerConns) refuses(ctx context.Context) bool {
	conn, ok := ctx.Value(connKey{}).(*callerConn)
	return ok && (conn.refusable || connUse(conn.use.Load()) == connEvicted)
}

// callerConnMetrics counts callers' connections that were ended for lack of descriptors.
type callerConnMetrics struct {
	ClosedIdle int64 `json:"closed_idle"`
	Refused    int64 `json:"refused"`
	Full       bool  `json:"full"`
}

func (c *callerConns) metrics() callerConnMetrics {
	return callerConnMetrics{ClosedIdle: c.closedIdle.Load(), Refused: c.refused.Load(), Full: c.full()}
}
