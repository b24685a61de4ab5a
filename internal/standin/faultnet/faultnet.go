// Package faultnet wraps a listener so that its connections can be cut, made
// silent or refused. The HTTP stand-ins listen through it.
package faultnet

import (
	"net"
	"sync"
	"sync/atomic"
)

// Listener is a net.Listener with faults.
type Listener struct {
	net.Listener
	mu       sync.Mutex
	conns    map[*conn]struct{}
	refusing atomic.Bool
	accepted atomic.Int64
}

// Wrap returns a Listener without faults.
func Wrap(inner net.Listener) *Listener {
	return &Listener{Listener: inner, conns: make(map[*conn]struct{})}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.refusing.Load() {
			Reset(raw)
			continue
		}
		l.accepted.Add(1)
		c := &conn{Conn: raw, listener: l, closed: make(chan struct{})}
		l.mu.Lock()
		l.conns[c] = struct{}{}
		l.mu.Unlock()
		return c, nil
	}
}

// Accepted returns how many connections were accepted.
func (l *Listener) Accepted() int {
	return int(l.accepted.Load())
}

// Open returns how many connections are open.
func (l *Listener) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// SetRefusing resets new connections at once, or accepts them again.
func (l *Listener) SetRefusing(refusing bool) {
	l.refusing.Store(refusing)
}

// Silence makes the open connections carry nothing more in either direction,
// without either end being told. New connections work.
func (l *Listener) Silence() {
	for _, c := range l.open() {
		c.silent.Store(true)
	}
}

// Cut resets the open connections.
func (l *Listener) Cut() {
	for _, c := range l.open() {
		c.cut()
	}
}

func (l *Listener) open() []*conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]*conn, 0, len(l.conns))
	for c := range l.conns {
		out = append(out, c)
	}
	return out
}

func (l *Listener) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

type conn struct {
	net.Conn
	listener *Listener
	silent   atomic.Bool
	once     sync.Once
	closed   chan struct{}
}

func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if !c.silent.Load() {
			return n, err
		}
		if err != nil {
			// Not even the end of a silent connection arrives.
			<-c.closed
			return 0, net.ErrClosed
		}
	}
}

func (c *conn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *conn) Close() error {
	var err error
	c.once.Do(func() {
		close(c.closed)
		c.listener.remove(c)
		err = c.Conn.Close()
	})
	return err
}

func (c *conn) cut() {
	c.once.Do(func() {
		close(c.closed)
		c.listener.remove(c)
		Reset(c.Conn)
	})
}

// Reset closes a connection so that the other end sees a reset.
func Reset(raw net.Conn) {
	if tcp, ok := raw.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = raw.Close()
}
