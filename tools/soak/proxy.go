package main

import (
	"io"
	"net"
	"sync"
	"time"

	"basilrudder/internal/standin/faultnet"
)

// mode is what a proxy does to the connections through it.
type mode uint8

const (
	passing  mode = iota
	delaying      // each piece is held for a while
	silent        // nothing goes through, and no connection closes
	cutUp         // nothing goes to the server; its bytes still come back
	cutDown       // nothing comes back; the caller's bytes still go through
	refusing      // connections are reset, old and new ones
	modes
)

func (m mode) String() string {
	return [...]string{"passing", "delaying", "silent", "cut up", "cut down", "refusing"}[m]
}

// heldFor is how long a delaying proxy holds a piece.
const heldFor = 150 * time.Millisecond

// proxy forwards connections from an address of its own to another one.
type proxy struct {
	ln net.Listener

	mu      sync.Mutex
	to      string
	mode    mode
	changed chan struct{}
	conns   map[*net.TCPConn]bool
}

// newProxy starts a proxy to an address.
func newProxy(to string) (*proxy, error) {
	ln, err := net.Listen("tcp", anyPort)
	if err != nil {
		return nil, err
	}
	p := &proxy{ln: ln, to: to, changed: make(chan struct{}), conns: make(map[*net.TCPConn]bool)}
	go p.serve()
	return p, nil
}

func (p *proxy) address() string { return p.ln.Addr().String() }

func (p *proxy) serve() {
	for {
		conn, err := p.ln.Accept()
		if err != nil {
			return // closed
		}
		go p.forward(conn.(*net.TCPConn))
	}
}

func (p *proxy) forward(near *net.TCPConn) {
	if m, _ := p.current(); m == refusing {
		faultnet.Reset(near)
		return
	}
	conn, err := net.Dial("tcp", p.target())
	if err != nil {
		faultnet.Reset(near)
		return
	}
	far := conn.(*net.TCPConn)
	if !p.keep(near, far) {
		faultnet.Reset(near)
		faultnet.Reset(far)
		return
	}
	var both sync.WaitGroup
	both.Go(func() { p.copy(far, near, cutUp) })
	both.Go(func() { p.copy(near, far, cutDown) })
	both.Wait()
	p.mu.Lock()
	delete(p.conns, near)
	delete(p.conns, far)
	p.mu.Unlock()
	_ = near.Close() // nothing more goes through
	_ = far.Close()
}

// keep notes the ends of a connection; false when they are to be reset.
func (p *proxy) keep(near, far *net.TCPConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.mode == refusing {
		return false
	}
	p.conns[near], p.conns[far] = true, true
	return true
}

// copy forwards one way until it ends, while the mode lets it.
func (p *proxy) copy(to, from *net.TCPConn, cut mode) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			p.pass(cut)
			if _, err := to.Write(buffer[:n]); err != nil {
				faultnet.Reset(from)
				return
			}
		}
		if err == io.EOF {
			p.pass(cut)
			_ = to.CloseWrite() // the other way may still be open
			return
		}
		if err != nil {
			faultnet.Reset(to)
			return
		}
	}
}

// pass waits until a piece may go on.
func (p *proxy) pass(cut mode) {
	m, changed := p.current()
	if m == delaying {
		time.Sleep(heldFor)
	}
	for m == silent || m == cut {
		<-changed
		m, changed = p.current()
	}
}

func (p *proxy) target() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.to
}

// retarget has new connections go to another address.
func (p *proxy) retarget(to string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.to = to
}

func (p *proxy) current() (mode, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode, p.changed
}

// set changes the mode.
func (p *proxy) set(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	close(p.changed)
	p.changed = make(chan struct{})
	if m != refusing {
		return
	}
	for conn := range p.conns {
		faultnet.Reset(conn)
	}
}

func (p *proxy) close() {
	_ = p.ln.Close()
	p.set(refusing)
}
