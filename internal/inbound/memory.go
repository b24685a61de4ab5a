package inbound

import (
	"time"

	"go.uber.org/zap"

	"basilrudder/internal/monotime"
	"basilrudder/internal/timer"
)

// hold counts n further bytes for a connection; mu is held, and released while it waits.
func (c *Conns) hold(conn *Conn, n int64) bool {
	if !c.takeMemory(conn, n) {
		return false
	}
	conn.held += n
	return true
}

// takeMemory counts n further bytes. If there are none left, other requests are given up for conn, and
// it waits until they have let go of what they hold; mu is held, and released meanwhile.
func (c *Conns) takeMemory(conn *Conn, n int64) bool {
	deadline := time.Now().Add(maxMemoryWait)
	for conn.current() != evicted {
		if c.memory.Take(n, conn.held) {
			return true
		}
		for c.pending < n && c.freeFor(conn) {
		}
		if c.pending == 0 || !c.awaitFreed(time.Until(deadline)) {
			return false
		}
	}
	return false
}

// awaitFreed waits until memory is returned, and reports false if that takes longer than d; mu is held,
// and released meanwhile.
func (c *Conns) awaitFreed(d time.Duration) bool {
	freed := c.freed
	c.waiters++
	c.mu.Unlock()
	ok := timer.Sleep(d, freed)
	c.mu.Lock()
	c.waiters--
	return !ok // the sleep was interrupted
}

// freeFor gives up a request that holds memory which conn needs more, and reports whether there was
// one; mu is held.
func (c *Conns) freeFor(conn *Conn) bool {
	if victim := c.olderHolder(conn); victim != nil {
		c.shedRequest(victim)
		return true
	}
	return c.closeStalled(monotime.Now().Add(-stalledAfter), 1)
}

// olderHolder returns the connection with the oldest incomplete request that holds memory, if it
// began before that of conn; nil if there is none. mu is held.
func (c *Conns) olderHolder(conn *Conn) *Conn {
	for e := c.incomplete.Front(); e != nil && e.Value.(*Conn) != conn; e = e.Next() {
		if other := e.Value.(*Conn); other.held > 0 {
			return other
		}
	}
	return nil
}

// shedRequest gives up an incomplete request; mu is held. If its handler reads the body, that is
// interrupted so that the caller can be told; otherwise the connection is closed.
func (c *Conns) shedRequest(conn *Conn) {
	c.countShed()
	c.giveUp(conn)
	if conn.handled {
		_ = conn.Conn.SetReadDeadline(past) // fails only on a connection that is closed
	} else {
		c.drop(conn)
	}
}

// countShed counts a request that is given up for lack of memory; mu is held.
func (c *Conns) countShed() {
	shed := c.shed.Add(1)
	if now := monotime.Now(); c.shedAt == 0 || now.Sub(c.shedAt) >= FullFor {
		c.shedAt = now
		c.log.Warn("request_memory_short", zap.Stringer("kind", c.kind), zap.Int64("used", c.memory.Used()),
			zap.Int64("limit", c.memory.Limit()), zap.Int64("shed", shed))
	}
}

// giveUp takes a connection from those in use; mu is held. What its request holds counts until its
// goroutine has ended: many that were given up may wait for the processor.
func (c *Conns) giveUp(conn *Conn) {
	if conn.current() != evicted {
		c.move(conn, evicted)
		c.pending += conn.held
	}
}

// freeMemory counts n bytes that a connection holds as free; mu is held.
func (c *Conns) freeMemory(conn *Conn, n int64) {
	c.memory.Release(n)
	conn.held -= n
	if conn.current() == evicted {
		c.pending -= n
	}
	if c.waiters > 0 && n > 0 {
		close(c.freed)
		c.freed = make(chan struct{})
	}
}
