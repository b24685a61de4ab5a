// Package narrownet connects the instances of a test without sockets, over links of a
// given speed: all connections of a host share its link in each direction. It works in
// virtual time.
package narrownet

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

const (
	// propagationDelay is how long a byte is on its way from one idle link to another.
	propagationDelay = time.Millisecond
	// window is what a connection holds that was not read, in bytes.
	window = 64 << 10
	// segment is the most that takes a link at once, in bytes.
	segment = 1460
)

// ErrRefused says that nobody listens at an address.
var ErrRefused = errors.New("connection refused")

// Network is a set of hosts.
type Network struct {
	mu        sync.Mutex
	hosts     map[string]*Host
	listeners map[string]*listener
}

// New returns a network without hosts.
func New() *Network {
	return &Network{hosts: make(map[string]*Host), listeners: make(map[string]*listener)}
}

// Host has a link to the network.
type Host struct {
	net      *Network
	up, down *direction
}

// Host returns the host of a name, with a link of so many bytes a second; 0 for one that
// takes no time.
func (n *Network) Host(name string, bytesPerSecond float64) *Host {
	n.mu.Lock()
	defer n.mu.Unlock()
	h := &Host{net: n, up: &direction{rate: bytesPerSecond}, down: &direction{rate: bytesPerSecond}}
	n.hosts[name] = h
	return h
}

// Sent returns how many bytes have left the host.
func (h *Host) Sent() int64 { return h.up.total() }

// Received returns how many bytes the host has been sent.
func (h *Host) Received() int64 { return h.down.total() }

// direction is one half of a link.
type direction struct {
	rate float64

	mu    sync.Mutex
	freeAt  time.Time
	bytes int64
}

// transmit returns when bytes that are at the link at an instant have passed it.
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

// Listen accepts connections to an address.
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

// Dial opens a connection from the host.
func (h *Host) Dial(ctx context.Context, address string) (net.Conn, error) {
	h.net.mu.Lock()
	l := h.net.listeners[address]
	h.net.mu.Unlock()
	if l == nil {
		return nil, ErrRefused
	}
	out, in := newStream(h.up, l.host.down), newStream(l.host.up, h.down)
	here := &conn{write: out, read: in, remote: addr(address)}
	there := &conn{write: in, read: out, remote: addr("caller of " + address)}
	select {
	case l.conns <- there:
		return here, nil
	case <-l.closed:
		return nil, ErrRefused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}
