package node

import (
	"time"

	"basilrudder/internal/monotime"
)

// dispatchGate holds dispatch back after a pause of the process until a peer or the
// platform has confirmed the configuration.
//
// A process that was stopped wakes up believing what it knew before: it would
// send work to a server withdrawn meanwhile, since a grant that lay in its
// queue looks valid. The gap in its own calls shows the pause. It is looked for
// on every way in, not in Tick alone: whatever goroutine runs first after the
// pause may free a slot and thereby start a request, even one that brings a
// configuration or a view. A pause between this check and the write to the socket
// is not caught here, and neither is work of an instance that is cut off: the
// engines of a withdrawn server are ordered to refuse it before it starts.
type dispatchGate struct {
	closed   bool
	closedAt monotime.Instant
	pauses   int
	// isolated is set when no confirmation came in time, until one comes.
	isolated bool
	// confirmedAt is the instant of the last confirmation.
	confirmedAt monotime.Instant
}

// lockAndDetectPause takes the lock for a call that may dispatch.
func (n *Node) lockAndDetectPause(now monotime.Instant) {
	n.mu.Lock()
	n.detectPause(now)
}

// detectPause closes the gate when the process has not run for a while.
func (n *Node) detectPause(now monotime.Instant) {
	if n.lastTick == 0 || now.Sub(n.lastTick) < pauseThreshold {
		return
	}
	n.gate.closed = true
	n.gate.closedAt = now
	n.gate.isolated = false
	n.gate.pauses++
	clear(n.ownerContacts)
	n.lastTick = now
}

// AwaitingConfirmation reports whether dispatch waits for a confirmation, and since when.
func (n *Node) AwaitingConfirmation() (monotime.Instant, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.gate.closedAt, n.gate.closed
}

// Confirm tells that a peer or the platform confirmed at the given instant that
// the configuration in force is the newest it knows.
func (n *Node) Confirm(now, confirmedAt monotime.Instant) {
	n.lockAndDetectPause(now)
	defer n.mu.Unlock()
	n.gate.confirmedAt = max(n.gate.confirmedAt, confirmedAt)
	if confirmedAt.Before(n.gate.closedAt) {
		return
	}
	n.gate.isolated = false
	if n.gate.closed {
		n.gate.closed = false
		n.reacquireDeferred(now)
	}
}

// maxConfirmationAge is the age of the last confirmation up to which orders may be sent.
// It is above the longest wait of a watch, so that one instance alone with the
// platform sends them.
const maxConfirmationAge = 2 * time.Minute

// MaySendOrders reports whether the configuration is known well enough to send
// orders to engines by it. Requests are dispatched with less: a stale order
// makes an engine drop the right model for everybody, while a stale dispatch
// costs one request. So an instance that nobody confirms sends none, neither
// after a pause nor cut off for long.
func (n *Node) MaySendOrders(now monotime.Instant) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.detectPause(now)
	unconfirmed := n.gate.confirmedAt == 0 || now.Sub(n.gate.confirmedAt) > maxConfirmationAge
	return !n.gate.closed && !n.gate.isolated && !unconfirmed
}

// SetCutOff tells whether nobody has confirmed the configuration for longer than
// the rules let the instance go on. It then takes no new request: what it knows
// of servers and limits is too old to act on, and callers have other instances.
func (n *Node) SetCutOff(cutOff bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cutOff = cutOff
}

// openGateOnTimeout opens the gate when nobody could confirm: an instance that reaches
// neither a peer nor the platform goes on with what it knows rather than
// refuse everybody, for as long as the rules say.
func (n *Node) openGateOnTimeout(now monotime.Instant) {
	if !n.gate.closed || now.Sub(n.gate.closedAt) < confirmTimeout {
		return
	}
	n.gate.closed = false
	n.gate.isolated = true
	n.reacquireDeferred(now)
}

// reacquireDeferred asks for the slots that were granted while the gate was closed. The
// grants themselves were given back: one that lay in a queue through the pause
// may be older than its lease, and the slot somebody else's by now.
func (n *Node) reacquireDeferred(now monotime.Instant) {
	isDeferred := func(r *request) bool { return r.grantDeferred }
	n.forEachWaiting(isDeferred, func(r *request) { n.acquireSlot(now, r) })
}
