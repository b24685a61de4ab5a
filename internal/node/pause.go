package node

import (
	"time"

	"basilrudder/internal/monotime"
)

// dispatchGate holds dispatch back after a pause of the process until a peer or the
// platform has confirmed the configuration.
//
// A process that resumes after being stopped has outdated state: a queued grant looks
// valid although its server may have been withdrawn meanwhile. The pause shows as a gap
// between ticks. Every entry point that may dispatch checks for it, not Tick alone,
// because the first goroutine to run after the pause may free a slot and so start a
// request, even one that applies a configuration or a view.
//
// Two cases are not covered here: a pause between this check and the write to the socket,
// and work of an instance that is cut off. For those, the engines of a withdrawn server
// are ordered to refuse work before it starts.
type dispatchGate struct {
	closed   bool
	closedAt monotime.Instant
	pauses   int
	// isolated is set when no confirmation came in time, until the next confirmation.
	isolated bool
	// confirmedAt is the instant of the last confirmation.
	confirmedAt monotime.Instant
}

// lockAndDetectPause takes the lock for a call that may dispatch.
func (n *Node) lockAndDetectPause(now monotime.Instant) {
	n.mu.Lock()
	n.detectPause(now)
}

// detectPause closes the gate if the time since the last tick reaches pauseThreshold.
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

// AwaitingConfirmation reports whether dispatch waits for a confirmation after a pause,
// and since when.
func (n *Node) AwaitingConfirmation() (monotime.Instant, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.gate.closedAt, n.gate.closed
}

// Confirm reports that a peer or the platform confirmed at the given instant that the
// configuration in force is the newest it has.
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
// It must exceed the longest wait of a watch, or an instance alone with the platform could
// not send them.
const maxConfirmationAge = 2 * time.Minute

// MaySendOrders reports whether the configuration is confirmed recently enough to send
// orders to engines. Dispatch requires less: a stale order makes an engine drop the right
// model for everybody, while a stale dispatch costs one request. An instance that is not
// confirmed, after a pause or because it is cut off, therefore sends none.
func (n *Node) MaySendOrders(now monotime.Instant) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.detectPause(now)
	unconfirmed := n.gate.confirmedAt == 0 || now.Sub(n.gate.confirmedAt) > maxConfirmationAge
	return !n.gate.closed && !n.gate.isolated && !unconfirmed
}

// SetCutOff sets whether the configuration has gone unconfirmed for longer than the rules
// allow. If so, the node refuses new requests: its state of servers and limits is too old
// to act on, and callers have other instances.
func (n *Node) SetCutOff(cutOff bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cutOff = cutOff
}

// openGateOnTimeout opens the gate if no confirmation arrived within confirmTimeout. An
// instance that reaches neither a peer nor the platform continues with its last state for
// as long as the rules allow, rather than refuse all requests.
func (n *Node) openGateOnTimeout(now monotime.Instant) {
	if !n.gate.closed || now.Sub(n.gate.closedAt) < confirmTimeout {
		return
	}
	n.gate.closed = false
	n.gate.isolated = true
	n.reacquireDeferred(now)
}

// reacquireDeferred requests new slots for the requests whose grants arrived while the
// gate was closed. Those grants were released: one that was queued during the pause may be
// older than its lease, and its slot granted to another request.
func (n *Node) reacquireDeferred(now monotime.Instant) {
	isDeferred := func(r *request) bool { return r.grantDeferred }
	n.forEachWaiting(isDeferred, func(r *request) { n.acquireSlot(now, r) })
}
