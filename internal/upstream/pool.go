package upstream

import (
	"sync"
	"time"

	"basilrudder/internal/netconn"
)

// pool keeps unused connections by address, the latest used on top.
type pool struct {
	mu            *sync.Mutex
	idle          map[string][]*conn
	maxPerAddress int
	idleTimeout   time.Duration
}

func newPool(maxPerAddress int, idleTimeout time.Duration) pool {
	return pool{
		mu:            new(sync.Mutex),
		idle:          make(map[string][]*conn),
		maxPerAddress: maxPerAddress,
		idleTimeout:   idleTimeout,
	}
}

// get returns a connection that looks usable, or nil.
//
// An upstream that restarted has closed its connections; a request written to
// one of them is lost with the verdict "may have run". Asking the socket first
// finds all but those closed in the same instant.
func (p *pool) get(address string) *conn {
	for {
		cn := p.pop(address)
		if cn == nil {
			return nil
		}
		if time.Since(cn.idleSince) < p.idleTimeout && netconn.Quiet(cn.Conn) {
			cn.reused = true
			return cn
		}
		_ = cn.Close()
	}
}

func (p *pool) pop(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[address]
	if len(conns) == 0 {
		return nil
	}
	last := len(conns) - 1
	cn := conns[last]
	conns[last] = nil
	if last == 0 {
		delete(p.idle, address)
	} else {
		p.idle[address] = conns[:last]
	}
	return cn
}

// put keeps a connection, or closes it when it can't be used again.
func (p *pool) put(cn *conn) {
	// An old deadline would make the check of the socket fail later.
	if cn.reader.Buffered() > 0 || cn.setFixedDeadline(time.Time{}) != nil {
		_ = cn.Close()
		return
	}
	cn.idleSince = time.Now()
	p.mu.Lock()
	conns := p.idle[cn.address]
	var oldest *conn
	if len(conns) >= p.maxPerAddress {
		oldest = conns[0]
		conns = append(conns[:0], conns[1:]...)
	}
	p.idle[cn.address] = append(conns, cn)
	p.mu.Unlock()
	if oldest != nil {
		_ = oldest.Close()
	}
}

// closeAddress closes the unused connections to an address. One connection that went
// silent tells that something between the two ends lost its state; the others
// of the address are likely to be lost as well.
func (p *pool) closeAddress(address string) {
	p.mu.Lock()
	conns := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	closeConns(conns)
}

func (p *pool) closeAll() {
	p.mu.Lock()
	idle := p.idle
	p.idle = make(map[string][]*conn)
	p.mu.Unlock()
	for _, conns := range idle {
		closeConns(conns)
	}
}

func closeConns(conns []*conn) {
	for _, cn := range conns {
		_ = cn.Close()
	}
}
