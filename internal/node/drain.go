package node

import (
	"basilrudder/internal/monotime"
	"basilrudder/internal/verdict"
)

// Drain makes the node refuse new requests. Admitted requests continue to their end.
func (n *Node) Drain(_ monotime.Instant) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.draining = true
}

// Drained reports whether the node drains and holds neither requests nor undelivered
// answers.
func (n *Node) Drained() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.draining && len(n.requests) == 0 && len(n.undelivered) == 0
}

// RefuseWaiting refuses the requests that have not started, for a process that exits
// before its drain is complete. They certainly did not run, and their callers can be sent
// that verdict only while the process lives.
func (n *Node) RefuseWaiting(now monotime.Instant) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.draining = true
	all := func(*request) bool { return true }
	n.forEachWaiting(all, func(r *request) {
		n.withdraw(now, r)
		n.refuse(now, r, verdict.New(verdict.NotRun, verdict.ReasonDraining,
			"this instance ends; ask the directory for another").After(retryWhenDraining))
	})
}
