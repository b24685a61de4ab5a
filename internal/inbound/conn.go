package inbound

import (
	"container/list"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"basilrudder/internal/monotime"
)

const (
	// maxLinger bounds the wait for a client to close a connection whose end is that of a
	// complete answer, and maxLingerBytes what is read of later requests meanwhile.
	maxLinger      = 500 * time.Millisecond
	maxLingerBytes = 1 << 20
)

// use is what a connection is used for.
type use int32

const (
	// idle connections wait for a request.
	idle use = iota
	// receiving connections have begun a request that was not yet read whole.
	receiving
	// answering connections wait for the answer to a request that was read whole.
	answering
	// evicted connections were closed for others.
	evicted
)

// Conn is the connection of a client.
type Conn struct {
	net.Conn
	conns *Conns
	use   atomic.Int32 // a use; changed while mu of conns is held
	// refusable connections are beyond the budget: their requests are refused.
	refusable bool
	closed    atomic.Bool
	// lingers means that the end of the connection is that of a complete answer.
	lingers atomic.Bool
	// element is the connection's place in the list of its use; nil if it is in none.
	element *list.Element
	// since is when the present use began.
	since monotime.Instant
	// detached connections are counted elsewhere.
	detached bool
	// handled means that a handler has the request, and held is the memory it holds in bytes.
	handled bool
	held    int64
	// answered is set once bytes of the answer to the present request were sent, early if bytes of the
	// next request came before, and ahead is how many requests in a row came so.
	answered, early atomic.Bool
	ahead           int
	// writing is when the write in progress began, as a monotime.Instant; 0 for none.
	writing atomic.Int64
}

func (c *Conn) current() use { return use(c.use.Load()) }

// Read implements net.Conn. A connection that is closed for another gives no further bytes:
// a request that was read and could not be answered would be lost.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.refusable && !(c.begin(true) && c.holdHead(p[:n])) {
		return 0, io.EOF // any other error would be answered as a bad request
	}
	if c.Shed() && errors.Is(err, net.ErrClosed) {
		return 0, io.EOF // fasthttp would drop the head unseen, and FreeHeads not be asked
	}
	return n, err
}

const (
	// maxAhead is the number of requests in a row that a client may send before it has the answer to
	// the previous one.
	maxAhead = 16
	// maxWrite is the number of bytes that are written at once.
	maxWrite = 16 << 10
)

// Write implements net.Conn. It writes in pieces, so that a client who reads slowly can be told from one
// who doesn't read.
func (c *Conn) Write(p []byte) (int, error) {
	defer c.writing.Store(0)
	c.answered.Store(true)
	written := 0
	for {
		c.writing.Store(int64(monotime.Now()))
		piece := p[written:min(written+maxWrite, len(p))]
		n, err := c.Conn.Write(piece)
		if written += n; err != nil || written == len(p) {
			return written, err
		}
	}
}

// holdHead counts what a parser makes of bytes of a request that no handler has yet. It reports false
// if there is no memory for it.
func (c *Conn) holdHead(p []byte) bool {
	if c.handled || c.current() != receiving {
		return true
	}
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	if c.conns.hold(c, headCost(p)) {
		return true
	}
	if c.current() != evicted {
		c.conns.countShed()
		c.conns.giveUp(c)
	}
	return false
}

// begin records that a request has begun, if the connection was idle, by bytes that were read now or
// before. It reports false if the connection was closed for another.
func (c *Conn) begin(read bool) bool {
	switch c.current() {
	case receiving:
		return true
	case answering:
		if read && !c.answered.Load() {
			c.early.Store(true)
		}
		return true
	case evicted:
		return false
	}
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	if c.current() == idle {
		c.conns.move(c, receiving)
		if c.early.Swap(false) || !read {
			c.ahead++
		} else {
			c.ahead = 0
		}
	}
	return c.current() != evicted
}

// becomeIdle records that the connection waits for the next request.
func (c *Conn) becomeIdle() {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	if c.current() != evicted {
		c.conns.move(c, idle)
	}
	c.conns.freeMemory(c, c.held)
	c.handled = false
	c.answered.Store(false)
}

// Handle records that a handler has the request, which it then can refuse.
func (c *Conn) Handle() {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	c.handled = true
}

// Hold counts n further bytes of memory as held by the request. It reports false if there are none
// left, or the request was given up for others.
func (c *Conn) Hold(n int64) bool {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	return c.conns.hold(c, n)
}

// Release counts n bytes that the request held as free.
func (c *Conn) Release(n int64) {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	c.conns.freeMemory(c, min(n, c.held))
}

// Ahead reports whether the client keeps sending requests without waiting for answers. Such a
// client is to be closed after the present one.
func (c *Conn) Ahead() bool { return c.ahead >= maxAhead }

// Shed reports whether the request was given up for others.
func (c *Conn) Shed() bool { return c.current() == evicted }

// SetReadDeadline implements net.Conn. That of a request that was given up stays in the past.
func (c *Conn) SetReadDeadline(t time.Time) error {
	err := c.Conn.SetReadDeadline(t)
	if c.Shed() {
		return c.Conn.SetReadDeadline(past)
	}
	return err
}

// past is a deadline that interrupts a read.
var past = time.Unix(1, 0)

// Received records that a request was read whole, so that its connection isn't closed for others any
// more. It reports false if that has already happened.
func (c *Conn) Received() bool {
	if c.refusable {
		return true
	}
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	if c.current() == evicted {
		return false
	}
	c.conns.move(c, answering)
	return true
}

// Detach hands a connection over to whoever counts it from now on. It reports false if the
// connection was closed for another. conn may wrap a Conn.
func Detach(conn net.Conn) bool {
	c := Of(conn)
	if c == nil {
		return true
	}
	if !c.Received() {
		return false
	}
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	if !c.closed.Load() {
		c.conns.uncount(c)
		c.conns.freeMemory(c, c.held)
		c.detached = true
	}
	if c.element != nil {
		c.conns.answering.Remove(c.element)
		c.element = nil
	}
	return true
}

// SendsAhead reports whether the client of a connection keeps sending requests without waiting for
// answers. conn may wrap a Conn.
func SendsAhead(conn net.Conn) bool {
	c := Of(conn)
	return c != nil && c.Ahead()
}

// Of returns the Conn of a connection, which may wrap it as those of fasthttp do; nil if it is not
// counted.
func Of(conn net.Conn) *Conn {
	if wrapper, ok := conn.(interface{ UnsafeConn() net.Conn }); ok {
		conn = wrapper.UnsafeConn()
	}
	c, _ := conn.(*Conn)
	return c
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	if c.closed.Swap(true) {
		c.letGo()
		return c.Conn.Close()
	}
	if c.lingers.Load() && c.CloseWrite() == nil {
		go c.linger()
		return nil
	}
	defer c.conns.remove(c)
	return c.Conn.Close()
}

// letGo returns the memory of a connection that was closed for others, once its server is done with it.
func (c *Conn) letGo() {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	c.conns.freeMemory(c, c.held)
}

// linger closes the connection once the client has closed it. The kernel resets a connection that
// is closed with unread bytes, such as those of the client's next request, and drops what it has
// not yet sent of the answer.
func (c *Conn) linger() {
	defer c.conns.remove(c)
	if c.SetReadDeadline(time.Now().Add(maxLinger)) == nil {
		_, _ = io.CopyN(io.Discard, c.Conn, maxLingerBytes) // the connection is closed either way
	}
	_ = c.Conn.Close()
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	if sc, ok := c.Conn.(syscall.Conn); ok {
		return sc.SyscallConn()
	}
	return nil, errNoSocket
}

// CloseWrite ends what is sent. The HTTP server does so to let a client who still sends read
// the answer.
func (c *Conn) CloseWrite() error {
	if socket, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return socket.CloseWrite()
	}
	return nil
}

// SetLinger sets what Close does with bytes that were not sent yet.
func (c *Conn) SetLinger(seconds int) error {
	if socket, ok := c.Conn.(interface{ SetLinger(int) error }); ok {
		return socket.SetLinger(seconds)
	}
	return errNoSocket
}

var errNoSocket = errors.New("inbound: no socket")
