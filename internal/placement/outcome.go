package placement

import (
	"time"

	"basilrudder/internal/monotime"
)

const (
	// failureDecay is the weight of the newest outcome in a server's failure
	// rate: about the last seven requests count.
	failureDecay = 0.15
	// retryMin and retryMax bound the pause before a server that could not be
	// reached is tried again. The first is short because a crowded server
	// resets connections too; the last bounds what a crash costs in new tries.
	retryMin = 200 * time.Millisecond
	retryMax = 2 * time.Second
	// refusedPause is how long an engine that refused a request gets none: about as long
	// as the shortest streams take to leave a slot. What filled it is known here
	// when its news have come, which is sooner.
	refusedPause = 200 * time.Millisecond
)

// Outcome is what became of a request at a server.
type Outcome uint8

// Outcomes.
const (
	// Served: a whole answer came.
	Served Outcome = iota
	// Failed: the server broke the answer off, spoilt it or answered with a
	// failure of its own.
	Failed
	// Unreachable: no connection could be made.
	Unreachable
	// Refused: the server said that it has no room.
	Refused
)

// Observe takes the outcome of a request into account for later choices. It
// reports whether the server became reachable or unreachable by it.
func (b *Board) Observe(serverID string, outcome Outcome, now monotime.Instant) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.servers[serverID]
	if s == nil {
		return false
	}
	was := s.backoff > 0
	switch outcome {
	case Served:
		s.failures *= 1 - failureDecay
		s.retryAt, s.backoff = 0, 0
	case Failed:
		s.failures += failureDecay * (1 - s.failures)
	case Refused:
		s.fullUntil = now.Add(refusedPause)
	case Unreachable:
		s.backoff = min(max(retryMin, 2*s.backoff), retryMax)
		s.retryAt = now.Add(s.backoff)
	}
	return was != (s.backoff > 0)
}
