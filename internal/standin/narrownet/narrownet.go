// Package narrownet is an in-memory network with limited bandwidth for tests. All
// connections of a host share its link, which has the same rate in each direction. It works
// in virtual time.
package narrownet

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	// propagationDelay is the time from the sender's uplink to the receiver's downlink.
	propagationDelay = time.Millisecond
	// window is the maximum number of unread bytes per direction of a connection; a writer
	// blocks when it is full. With propagationDelay it also bounds a connection's throughput.
	window = 64 << 10
	// segment is the maximum number of bytes that occupy a link at once. Larger segments
	// make other connections of the host wait longer for the link.
	segment = 1460
)

// ErrRefused is returned by Dial when there is no listener at the address.
const ErrRefused = syscall.ECONNREFUSED

// Network is a set of hosts and the addresses they listen on.
type Network struct {
	mu        sync.Mutex
	hosts     map[string]*Host
	listeners map[string]*listener
	paths     map[route]*path
	// userTimeout breaks a connection whose bytes are held up for so long, as
	// TCP_USER_TIMEOUT does; 0 for never.
	userTimeout time.Duration
}

// New returns a network without hosts.
func New() *Network {
	return &Network{hosts: make(map[string]*Host), listeners: make(map[string]*listener), paths: make(map[route]*path)}
}

// Host is a host with one link to the network.
type Host struct {
	net      *Network
	name     string
	up, down *direction
}

// Host adds a host whose link carries bytesPerSecond in each direction; 0 means unlimited.
func (n *Network) Host(name string, bytesPerSecond float64) *Host {
	n.mu.Lock()
	defer n.mu.Unlock()
	h := &Host{net: n, name: name, up: &direction{rate: bytesPerSecond}, down: &direction{rate: bytesPerSecond}}
	n.hosts[name] = h
	return h
}

// Sent returns the number of bytes that were put on the host's uplink.
func (h *Host) Sent() int64 { return h.up.total() }

// Received returns the number of bytes sent to the host, including those in flight.
func (h *Host) Received() int64 { return h.down.total() }

// direction is the uplink or the downlink of a host.
type direction struct {
	rate float64

	mu     sync.Mutex
	freeAt time.Time
	bytes  int64
}

// transmit queues bytes that reach the link at the given time, and returns when the last of
// them has passed it.
func (d *direction) transmit(at time.Time, bytes int) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.freeAt.Before(at) {
		d.freeAt = at
	}
	if d.rate > 0 {
		d.freeAt = d.freeAt.Add(time.Duration(float64(bytes) / d.rate * float64(time.Second)))
	}
	d.bytes += int64(bytes)
	return d.freeAt
}

func (d *direction) total() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.bytes
}

type listener struct {
	host    *Host
	address string
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

// Listen returns a listener for connections to address, in place of an earlier one.
func (h *Host) Listen(address string) net.Listener {
	l := &listener{host: h, address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	h.net.listeners[address] = l
	return l
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return addr(l.address) }

type addr string

func (addr) Network() string  { return "narrow" }
func (a addr) String() string { return string(a) }

// Dial opens a connection from the host to address. It blocks until the connection is
// accepted and returns ErrRefused if there is no open listener.
func (h *Host) Dial(ctx context.Context, address string) (net.Conn, error) {
	h.net.mu.Lock()
	l := h.net.listeners[address]
	h.net.mu.Unlock()
	if l == nil {
		return nil, ErrRefused
	}
	there, back := h.net.path(h, l.host), h.net.path(l.host, h)
	if there.refuses() {
		return nil, ErrRefused
	}
	if there.silent() || back.silent() {
		<-ctx.Done()
		return nil, timeoutError{}
	}
	out, in := newStreams(h, l.host, there, back)
	near := &conn{write: out, read: in, remote: addr(address)}
	far := &conn{write: in, read: out, remote: addr("caller of " + address)}
	select {
	case l.conns <- far:
		there.add(out)
		back.add(in)
		return near, nil
	case <-l.closed:
		return nil, ErrRefused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}
