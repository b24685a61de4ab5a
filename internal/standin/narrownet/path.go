package narrownet

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Fault is what a network does to connections from one host to another.
type Fault uint8

// Faults of a path.
const (
	// None: connections work.
	None Fault = iota
	// Silent: no byte arrives and new connections hang. What was sent arrives once the
	// fault ends.
	Silent
	// Reset: connections are reset when they are used next, new ones are refused.
	Reset
	// Refuse: connections go on, new ones are refused.
	Refuse
)

// route is a pair of hosts.
type route struct{ from, to *Host }

// path is the state of the connections from one host to another, in one direction.
type path struct {
	userTimeout time.Duration
	fault       atomic.Uint32 // a Fault

	mu      sync.Mutex // locked before the mutex of a stream
	streams []*stream
}

// SetUserTimeout sets after which time connections break whose bytes are held up. It
// applies to connections opened later.
func (n *Network) SetUserTimeout(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.userTimeout = d
}

// SetFault sets the fault of the connections that one host opens to another, in the
// direction from the first to the second one. New connections need both directions.
func (n *Network) SetFault(from, to *Host, fault Fault) {
	n.path(from, to).set(fault)
}

// Cut sets a fault in both directions between two hosts.
func (n *Network) Cut(a, b *Host, fault Fault) {
	n.SetFault(a, b, fault)
	n.SetFault(b, a, fault)
}

func (n *Network) path(from, to *Host) *path {
	n.mu.Lock()
	defer n.mu.Unlock()
	key := route{from, to}
	if n.paths[key] == nil {
		n.paths[key] = &path{userTimeout: n.userTimeout}
	}
	return n.paths[key]
}

func (p *path) set(fault Fault) {
	p.fault.Store(uint32(fault))
	p.mu.Lock()
	streams := slices.Clone(p.streams)
	p.mu.Unlock()
	for _, s := range streams {
		s.mu.Lock()
		s.reset = s.reset || fault == Reset
		s.notifyChange()
		s.mu.Unlock()
	}
}

func (p *path) current() Fault { return Fault(p.fault.Load()) }

func (p *path) silent() bool { return p.current() == Silent }

func (p *path) refuses() bool { return p.current() == Reset || p.current() == Refuse }

func (p *path) add(s *stream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.streams = slices.DeleteFunc(p.streams, (*stream).ended)
	p.streams = append(p.streams, s)
}

func (s *stream) ended() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.abandoned || s.broken
}

// watchHeldUp breaks the stream if bytes are held up for the path's user timeout. mu is
// held.
func (s *stream) watchHeldUp() {
	if s.path.userTimeout == 0 || s.watching || !s.path.silent() {
		return
	}
	s.watching = true
	time.AfterFunc(s.path.userTimeout, func() {
		s.mu.Lock()
		s.watching = false
		heldUp := s.path.silent() && s.buffered > 0 && !s.abandoned
		s.mu.Unlock()
		if heldUp {
			s.breakOff()
			s.opposite.breakOff()
		}
	})
}

func (s *stream) breakOff() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.broken = true
	s.notifyChange()
}

// timeoutError is the error of a connection attempt without an answer and of a connection
// whose bytes are not acknowledged.
type timeoutError struct{}

func (timeoutError) Error() string   { return "connection timed out" }
func (timeoutError) Timeout() bool   { return true }
func (timeoutError) Temporary() bool { return false }
