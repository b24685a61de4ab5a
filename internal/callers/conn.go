package callers

import (
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

const (
	// excessConnections is the number of connections above the limit whose requests are
	// still read and refused with a verdict. Callers beyond it get a reset instead.
	excessConnections = 64
	// maxWriteSize is the maximum number of bytes written under one write deadline. With
	// larger writes, a slow caller that does accept bytes may exceed the deadline.
	maxWriteSize = 16 << 10
)

// pastDeadline is a read deadline that interrupts a read at once.
var pastDeadline = time.Unix(1, 0)

// listener wraps accepted connections and limits their number.
type listener struct {
	net.Listener
	server *Server
	open   atomic.Int64
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		limit := int64(l.server.cfg.Connections)
		open := l.open.Add(1)
		if open > limit+excessConnections {
			l.open.Add(-1)
			l.server.counts.connectionsRefused.Add(1)
			_ = accepted.Close()
			continue
		}
		l.server.counts.connections.Add(1)
		setTCPTimeouts(accepted, l.server.cfg.WriteStall)
		return &conn{
			Conn:         accepted,
			stallTimeout: l.server.cfg.WriteStall,
			overLimit:    open > limit,
			onClose:      l.connClosed,
		}, nil
	}
}

func (l *listener) connClosed() {
	l.open.Add(-1)
	l.server.counts.connections.Add(-1)
}

// conn is a caller's connection. While a handler waits for an answer, the server reads
// nothing and would not detect that the caller has disconnected: the request would run
// although nobody waits for it. A background read therefore waits for the end of the
// connection. If it reads the first byte of a pipelined request instead, the byte is
// kept for the next Read.
//
// Read, Write, watch and unwatch must be called by the goroutine that serves the
// connection.
type conn struct {
	net.Conn
	stallTimeout time.Duration
	overLimit    bool
	onClose      func()
	isClosed     atomic.Bool

	watchDone chan struct{} // closed when the background read ends
	peeked    [1]byte
	hasPeeked bool

	writeFailed       atomic.Bool
	mu                sync.Mutex // guards deliveryCallbacks: a shutdown may call Close
	deliveryCallbacks []func(whole bool)
}

// UnsafeConn returns the wrapped connection.
func (c *conn) UnsafeConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	// The server reads again only after it has flushed the last response.
	c.reportDeliveries()
	if c.hasPeeked && len(p) > 0 {
		c.hasPeeked = false
		p[0] = c.peeked[0]
		return 1, nil
	}
	return c.Conn.Read(p)
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	n, err := writeWithStallTimeout(c.Conn, p, c.stallTimeout)
	if err != nil {
		c.writeFailed.Store(true)
	}
	return n, err
}

// writeWithStallTimeout writes p in pieces and renews the write deadline for each one.
// The deadline thus bounds the time without progress instead of the size of an answer.
func writeWithStallTimeout(c net.Conn, p []byte, stallTimeout time.Duration) (int, error) {
	written := 0
	for {
		piece := p[written:min(written+maxWriteSize, len(p))]
		if err := c.SetWriteDeadline(time.Now().Add(stallTimeout)); err != nil {
			return written, err
		}
		n, err := c.Write(piece)
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	err := c.Conn.Close()
	if c.isClosed.CompareAndSwap(false, true) {
		c.onClose()
	}
	c.reportDeliveries()
	return err
}

// watch calls onGone, at most once, if the caller closes or loses the connection before
// unwatch.
func (c *conn) watch(onGone func()) {
	// The deadline for reading the request is still set.
	if err := c.SetReadDeadline(time.Time{}); err != nil {
		onGone()
		return
	}
	if c.hasPeeked {
		return
	}
	c.watchDone = make(chan struct{})
	go c.awaitClose(onGone)
}

func (c *conn) awaitClose(onGone func()) {
	defer close(c.watchDone)
	n, err := c.Conn.Read(c.peeked[:])
	if n == 1 {
		c.hasPeeked = true
		return
	}
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		onGone()
	}
}

// unwatch ends watch and waits until the background read has returned.
func (c *conn) unwatch() {
	if c.watchDone == nil {
		return
	}
	_ = c.SetReadDeadline(pastDeadline)
	<-c.watchDone
	c.watchDone = nil
	_ = c.SetReadDeadline(time.Time{})
}

// onDelivery registers f to be called once the current response has been written, with
// complete set if all of it was. The HTTP server does not report this to handlers, but
// it flushes a response before it reads the next request or closes the connection.
func (c *conn) onDelivery(f func(whole bool)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deliveryCallbacks = append(c.deliveryCallbacks, f)
}

func (c *conn) reportDeliveries() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, f := range c.deliveryCallbacks {
		f(!c.writeFailed.Load())
	}
	c.deliveryCallbacks = c.deliveryCallbacks[:0]
}
