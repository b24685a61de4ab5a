package inbound

import (
	"container/list"
	"sync/atomic"
	"time"

	"basilrudder/internal/monotime"
)

// reclaim closes a connection of another kind that exceeds its guarantee, and reports whether
// there was one.
func (c *Conns) reclaim() bool {
	for _, l := range c.lenders {
		l.mu.Lock()
		closed := c.budget.ExceedsGuarantee(l.kind) && l.makeRoom()
		l.mu.Unlock()
		if closed {
			return true
		}
	}
	return false
}

// makeRoom closes the connection that is needed least, and reports whether there was one; mu is
// held.
func (c *Conns) makeRoom() bool {
	now := monotime.Now()
	return c.evict(c.idle, now, &c.closedIdle) || c.evict(c.incomplete, now.Add(-incompleteGrace), &c.closedIncomplete) ||
		c.closeStalled(now.Add(-stalledAfter), 0)
}

// closeStalled closes the connection whose client has not read its answer for longest, if that is so
// since an instant and it holds that much memory. It reports whether there was one; mu is held.
func (c *Conns) closeStalled(since monotime.Instant, held int64) bool {
	var stalled *Conn
	for e := c.answering.Front(); e != nil; e = e.Next() {
		conn := e.Value.(*Conn)
		at := monotime.Instant(conn.writing.Load())
		if at != 0 && at <= since && conn.held >= held {
			stalled, since = conn, at
		}
	}
	if stalled == nil {
		return false
	}
	c.giveUp(stalled)
	c.closedStalled.Add(1)
	return c.drop(stalled)
}

// MakeRoom closes the connection that is needed least for the descriptor of another kind, if this
// kind exceeds its guarantee. It reports whether there was one.
func (c *Conns) MakeRoom() bool {
	if c.reclaim() {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.budget.ExceedsGuarantee(c.kind) && c.makeRoom()
}

// evict closes the first connection of a list if it has been there since an instant, and
// reports whether it did; mu is held.
func (c *Conns) evict(from *list.List, since monotime.Instant, count *atomic.Int64) bool {
	for e := from.Front(); e != nil; e = from.Front() {
		conn := e.Value.(*Conn)
		if conn.since > since {
			return false
		}
		c.giveUp(conn)
		if c.drop(conn) {
			count.Add(1)
			return true
		}
	}
	return false
}

// CloseSlow closes the connections whose clients have taken longer than that to send the head of a
// request; 0 for any time.
func (c *Conns) CloseSlow(headTimeout time.Duration) {
	if headTimeout <= 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	since := monotime.Now().Add(-headTimeout)
	var next *list.Element
	for e := c.incomplete.Front(); e != nil && e.Value.(*Conn).since < since; e = next {
		next = e.Next()
		if conn := e.Value.(*Conn); !conn.handled {
			c.closedIncomplete.Add(1)
			c.giveUp(conn)
			c.drop(conn)
		}
	}
}

// drop closes a connection that is used no longer; mu is held. It reports false if that has been done.
func (c *Conns) drop(conn *Conn) bool {
	if conn.closed.Swap(true) {
		return false
	}
	c.uncount(conn)
	_ = conn.Conn.Close() // nothing is sent or read any more
	return true
}
