// Package faultnet wraps a listener to inject faults: its connections can be reset,
// silenced or refused. The HTTP stand-ins listen through it.
package faultnet

import (
	"net"
	"sync"
	"sync/atomic"
)

// Listener is a net.Listener that can inject faults into its connections.
type Listener struct {
	net.Listener
	mu       sync.Mutex
	conns    map[*conn]struct{}
	refusing atomic.Bool
	accepted atomic.Int64
}

// Wrap returns a Listener over inner with no faults active.
func Wrap(inner net.Listener) *Listener {
	return &Listener{Listener: inner, conns: make(map[*conn]struct{})}
}

// Accept implements net.Listener. While refusing, it resets each new connection and does
// not count it as accepted.
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

// Accepted returns the number of connections accepted so far.
func (l *Listener) Accepted() int {
	return int(l.accepted.Load())
}

// Open returns the number of open connections.
func (l *Listener) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// SetRefusing sets whether new connections are reset as soon as they are accepted.
func (l *Listener) SetRefusing(refusing bool) {
	l.refusing.Store(refusing)
}

// Silence stops all data on the open connections in both directions, without an error
// at either end. New connections are not affected.
func (l *Listener) Silence() {
	for _, c := range l.open() {
		c.silent.Store(true)
	}
}

// Cut resets all open connections.
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
			// A silent connection does not report its end either.
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

// Reset closes a connection. Over TCP, the peer receives a reset (RST).
func Reset(raw net.Conn) {
	if tcp, ok := raw.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = raw.Close()
}
