package upstream

import (
	"sync"
	"time"

	"basilrudder/internal/netconn"
)

// pool keeps unused connections by address. The most recently used one is reused first.
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

// get returns an unused connection that still appears to be open, or nil.
//
// An upstream that restarted has closed its connections, and a request written to one of
// them fails with the verdict "may have run". Checking the socket before use finds all
// closed connections except those closed at the same moment.
func (p *pool) get(address string) *conn {
	for {
		cn := p.pop(address)
		if cn == nil {
			return nil
		}
		if time.Since(cn.idleSince) < p.idleTimeout && netconn.IsReusable(cn.Conn) {
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

// put returns a connection to the pool, or closes it if it can't be reused.
func (p *pool) put(cn *conn) {
	// An expired read deadline would fail the later check of the socket.
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

// closeAddress closes the unused connections to an address. When one connection becomes
// unresponsive, something on the path has lost its state, and the other connections to
// the address are likely to be lost too.
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
