package answerend

import (
	"sync"
	"time"

	"basilrudder/internal/monotime"
)

const (
	// probeBurst is the number of probes that may follow one another at once: the servers of
	// a large service that end together.
	probeBurst = 64
	// probeInterval is the mean time between probes, each of which is a connection.
	probeInterval = 50 * time.Millisecond
)

// Budget bounds the probes of an instance. The zero value is ready for use.
type Budget struct {
	mu sync.Mutex
	// ended is for ends with which other connections have ended too, which are rarely those
	// of whole answers; alone is for the ends of only connections.
	ended, alone bucket
}

// Take reports whether a probe is allowed on the evidence so far, and records it.
func (b *Budget) Take(e Evidence, now monotime.Instant) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e.Siblings.Ended > 0 {
		return b.ended.take(now)
	}
	return b.alone.take(now)
}

type bucket struct {
	// fullAt is when all of the burst is available again; 0 before the first probe.
	fullAt monotime.Instant
}

func (b *bucket) take(now monotime.Instant) bool {
	next := now.Add(probeInterval)
	if b.fullAt != 0 && b.fullAt > now {
		next = b.fullAt.Add(probeInterval)
	}
	if next.Sub(now) > probeBurst*probeInterval {
		return false
	}
	b.fullAt = next
	return true
}
