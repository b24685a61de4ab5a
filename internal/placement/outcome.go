package placement

import (
	"time"

	"basilrudder/internal/monotime"
)

const (
	// failureDecay is the weight of the latest outcome in a server's failure rate: about
	// the last seven requests count.
	failureDecay = 0.15
	// retryMin and retryMax bound the pause before an unreachable server is tried again.
	// The first is short because an overloaded server resets connections too. The last
	// limits the number of attempts that fail while a server is down; a longer one delays
	// its first requests after the restart.
	retryMin = 200 * time.Millisecond
	retryMax = 2 * time.Second
	// refusedPause is how long an engine that refused a request gets none: about as long
	// as the shortest streams take to leave a slot. Reports of the requests that filled
	// it arrive sooner.
	refusedPause = 200 * time.Millisecond
)

// Outcome is the result of a request at a server.
type Outcome uint8

// Outcomes.
const (
	// Served: the response was complete.
	Served Outcome = iota
	// Failed: the server broke off the response, sent an invalid one or returned an error
	// of its own.
	Failed
	// Unreachable: no connection could be established.
	Unreachable
	// Refused: the server reported that it has no free capacity.
	Refused
)

// Observe applies the outcome of a request at a server. It reports whether the server
// became reachable or unreachable by it.
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
