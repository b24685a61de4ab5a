package upstream

import (
	"bufio"
	"context"
	"net"
	"time"
)

// writeBufferSize is the size in bytes of a connection's write buffer. A request that does
// not fit is sent in several writes.
const writeBufferSize = 4 << 10

// deadlineSlackDivisor defines how early a read timeout may fire: by up to 1/8 of its
// length. The deadline is renewed only after that part has passed, not for each token. A
// smaller divisor makes timeouts fire earlier; a larger one renews the deadline more
// often.
const deadlineSlackDivisor = 8

// conn is a connection that counts the bytes of the current request and its answer. Only
// Close may be called from another goroutine.
type conn struct {
	net.Conn
	address string
	reader  *bufio.Reader
	writer  *bufio.Writer
	// written is the number of bytes of the current request that the operating system
	// accepted. They may reach the upstream even if a later write fails.
	written int64
	// received is the number of bytes read of the current answer.
	received int64
	// reused is set if the connection has carried an earlier request.
	reused bool
	// idleSince is the time at which the connection was returned to the pool.
	idleSince time.Time

	// readTimeout limits each read; 0 while a fixed deadline is in force.
	readTimeout       time.Duration
	deadlineRenewedAt time.Time
}

func (c *Client) dial(ctx context.Context, address string) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.ConnectTimeout)
	defer cancel()
	raw, err := c.cfg.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return newConn(raw, address), nil
}

func newConn(raw net.Conn, address string) *conn {
	cn := &conn{Conn: raw, address: address}
	cn.reader = bufio.NewReaderSize(cn, maxHeaderBytes)
	cn.writer = bufio.NewWriterSize(cn, writeBufferSize)
	return cn
}

// Write implements io.Writer and counts the bytes written.
func (cn *conn) Write(p []byte) (int, error) {
	n, err := cn.Conn.Write(p)
	cn.written += int64(n)
	return n, err
}

// Read implements io.Reader. It renews the read deadline and counts the bytes read.
func (cn *conn) Read(p []byte) (int, error) {
	if err := cn.renewDeadline(); err != nil {
		return 0, err
	}
	n, err := cn.Conn.Read(p)
	cn.received += int64(n)
	return n, err
}

// setReadTimeout limits each following read. Without a limit, TCP would wait for minutes
// on an unresponsive connection.
func (cn *conn) setReadTimeout(timeout time.Duration) {
	if timeout != cn.readTimeout {
		cn.readTimeout = timeout
		cn.deadlineRenewedAt = time.Time{}
	}
}

// setFixedDeadline sets one deadline for all following reads together.
func (cn *conn) setFixedDeadline(deadline time.Time) error {
	cn.readTimeout = 0
	return cn.SetReadDeadline(deadline)
}

func (cn *conn) renewDeadline() error {
	if cn.readTimeout == 0 {
		return nil
	}
	now := time.Now()
	if now.Sub(cn.deadlineRenewedAt) < cn.readTimeout/deadlineSlackDivisor {
		return nil
	}
	cn.deadlineRenewedAt = now
	return cn.SetReadDeadline(now.Add(cn.readTimeout))
}

// resetCounts resets the byte counts for the next request.
func (cn *conn) resetCounts() {
	cn.written = 0
	cn.received = 0
}
