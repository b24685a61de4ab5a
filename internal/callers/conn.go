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
	// refusedConnections is the number of connections above the limit that are
	// still read, so that their callers get a typed refusal instead of a reset.
	refusedConnections = 64
	// writePiece is the most that is written under one write deadline, in bytes.
	writePiece = 16 << 10
)

// longAgo is a deadline that ends a read at once.
var longAgo = time.Unix(1, 0)

// listener wraps accepted connections and bounds their number.
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
		if open > limit+refusedConnections {
			l.open.Add(-1)
			l.server.counts.connectionsRefused.Add(1)
			_ = accepted.Close()
			continue
		}
		l.server.counts.connections.Add(1)
		watchSilence(accepted, l.server.cfg.WriteStall)
		return &conn{
			Conn:      accepted,
			stall:     l.server.cfg.WriteStall,
			overLimit: open > limit,
			closed:    l.connClosed,
		}, nil
	}
}

func (l *listener) connClosed() {
	l.open.Add(-1)
	l.server.counts.connections.Add(-1)
}

// conn is a caller's connection. While a handler waits for an answer, nothing
// reads from the connection and the server would not learn that the caller is
// gone: the work would go on for nobody. So a background read waits for the
// end of the connection meanwhile. It may instead get the first byte of a
// pipelined request, which is kept for the next Read.
//
// Read, Write, watch and unwatch are called by the goroutine that serves the
// connection.
type conn struct {
	net.Conn
	stall     time.Duration
	overLimit bool
	closed    func()
	isClosed  atomic.Bool

	watching chan struct{} // closed when the background read has ended
	ahead    [1]byte
	hasAhead bool

	writeFailed atomic.Bool
	mu          sync.Mutex // Close may come from a shutdown
	deliveries  []func(whole bool)
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	// The server reads again only after it flushed the last response.
	c.settle()
	if c.hasAhead && len(p) > 0 {
		c.hasAhead = false
		p[0] = c.ahead[0]
		return 1, nil
	}
	return c.Conn.Read(p)
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	n, err := writePieces(c.Conn, p, c.stall)
	if err != nil {
		c.writeFailed.Store(true)
	}
	return n, err
}

// writePieces renews the deadline for each piece, so that it bounds the time
// without progress and not the size of an answer.
func writePieces(c net.Conn, p []byte, stall time.Duration) (int, error) {
	written := 0
	for {
		piece := p[written:min(written+writePiece, len(p))]
		if err := c.SetWriteDeadline(time.Now().Add(stall)); err != nil {
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
		c.closed()
	}
	c.settle()
	return err
}

// watch calls gone, once, when the caller closes or loses the connection before
// unwatch.
func (c *conn) watch(gone func()) {
	// The deadline for reading the request still stands.
	if err := c.SetReadDeadline(time.Time{}); err != nil {
		gone()
		return
	}
	if c.hasAhead {
		return
	}
	c.watching = make(chan struct{})
	go c.readAhead(gone)
}

func (c *conn) readAhead(gone func()) {
	defer close(c.watching)
	n, err := c.Conn.Read(c.ahead[:])
	if n == 1 {
		c.hasAhead = true
		return
	}
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		gone()
	}
}

// unwatch ends watch and returns when nothing reads the connection any more.
func (c *conn) unwatch() {
	if c.watching == nil {
		return
	}
	_ = c.SetReadDeadline(longAgo)
	<-c.watching
	c.watching = nil
	_ = c.SetReadDeadline(time.Time{})
}

// onDelivery calls f when the response being prepared has been written, with
// whether all of it was. The server tells a handler nothing of that, but it
// flushes a response before it reads the next request or closes.
func (c *conn) onDelivery(f func(whole bool)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deliveries = append(c.deliveries, f)
}

func (c *conn) settle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, f := range c.deliveries {
		f(!c.writeFailed.Load())
	}
	c.deliveries = c.deliveries[:0]
}
