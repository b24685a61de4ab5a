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

// maxSiblings bounds the connections that are examined for one answer.
const maxSiblings = 64

// siblings examines other direct connections to the server of c, in use or idle. The end of a
// connection through a peer may be one of the way there, so those don't count.
func (p *pool) siblings(c *conn) answerend.Siblings {
	var out answerend.Siblings
	for _, other := range p.others(c) {
		open, known := netconn.IsOpen(other.Conn)
		switch {
		case open && known:
			out.Open++
		case known:
			out.Ended++
		}
	}
	return out
}

// others returns at most maxSiblings other direct connections to the server of c.
func (p *pool) others(c *conn) []*conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := p.conns[c.target.ID]
	out := make([]*conn, 0, min(len(all), maxSiblings))
	for other := range all {
		if len(out) == maxSiblings {
			break
		}
		if other != c && other.via == nil {
			out = append(out, other)
		}
	}
	return out
}
