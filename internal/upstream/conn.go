package upstream

import (
	"bufio"
	"context"
	"net"
	"time"
)

const writeBufferSize = 4 << 10

// deadlineSlackDivisor is the part of a timeout by which it may fire early, so that
// the deadline is not set again for each token.
const deadlineSlackDivisor = 8

// conn is a connection that counts what it has taken of the current request.
// Only close may be called from another goroutine.
type conn struct {
	net.Conn
	address string
	reader  *bufio.Reader
	writer  *bufio.Writer
	// written counts the bytes of the current request that the operating
	// system took. They may reach the upstream whatever fails later.
	written int64
	// received counts the bytes of the current answer.
	received int64
	// reused says that the connection has carried a request before.
	reused bool
	// idleSince is when the connection went into the pool.
	idleSince time.Time

	// readTimeout is how long each read may wait; 0 while a fixed deadline is in force.
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

// Write implements io.Writer and counts.
func (cn *conn) Write(p []byte) (int, error) {
	n, err := cn.Conn.Write(p)
	cn.written += int64(n)
	return n, err
}

// Read implements io.Reader.
func (cn *conn) Read(p []byte) (int, error) {
	if err := cn.renewDeadline(); err != nil {
		return 0, err
	}
	n, err := cn.Conn.Read(p)
	cn.received += int64(n)
	return n, err
}

// setReadTimeout sets how long each read from now on may wait. TCP alone would wait on
// a silent connection for minutes.
func (cn *conn) setReadTimeout(timeout time.Duration) {
	if timeout != cn.readTimeout {
		cn.readTimeout = timeout
		cn.deadlineRenewedAt = time.Time{}
	}
}

// setFixedDeadline sets when all reads together must be done.
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

// resetCounts prepares for the next request.
func (cn *conn) resetCounts() {
	cn.written = 0
	cn.received = 0
}
