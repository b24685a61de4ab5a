package node

import "basilrudder/internal/monotime"

// Drain makes the node refuse new requests. Those it holds go on to their end.
func (n *Node) Drain(_ monotime.Instant) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.draining = true
}

// Drained reports whether no request is held any more.
func (n *Node) Drained() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.draining && len(n.requests) == 0 && len(n.undelivered) == 0
}
