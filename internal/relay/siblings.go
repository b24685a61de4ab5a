package relay

import (
	"basilrudder/internal/answerend"
	"basilrudder/internal/netconn"
)

func (p *pool) track(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	server := c.target.ID
	if p.conns[server] == nil {
		p.conns[server] = make(map[*conn]struct{})
	}
	p.conns[server][c] = struct{}{}
}

// untrack forgets a connection; mu is held.
func (p *pool) untrack(c *conn) {
	server := c.target.ID
	delete(p.conns[server], c)
	if len(p.conns[server]) == 0 {
		delete(p.conns, server)
	}
}

// siblings examines the other direct connections to the server of c, in use or idle, up to
// the first open one. The end of a connection through a peer may be one of the way there, so
// those don't count.
func (p *pool) siblings(c *conn) answerend.Siblings {
	p.mu.Lock()
	others := make([]*conn, 0, len(p.conns[c.target.ID]))
	for other := range p.conns[c.target.ID] {
		if other != c && other.via == nil {
			others = append(others, other)
		}
	}
	p.mu.Unlock()
	var out answerend.Siblings
	for _, other := range others {
		open, known := netconn.IsOpen(other.Conn)
		switch {
		case open && known:
			out.Open++
			return out
		case known:
			out.Ended++
		}
	}
	return out
}
