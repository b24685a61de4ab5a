package peer

import (
	"sync"
	"time"

	"basilrudder/internal/monotime"
)

// bulkBurst is the number of bytes of bulk that may be sent at once after an idle period. A
// larger burst fills the system's send buffer, which delays urgent envelopes; a smaller one
// costs more timers.
const bulkBurst = 64 << 10

// bulkLimiter limits the rate of bulk on all links together, so the system's send buffers
// hold little of it when an urgent envelope is sent.
type bulkLimiter struct {
	rate int // bytes per second; 0 for no limit

	mu sync.Mutex
	// usedUntil is the time up to which the rate is used.
	usedUntil monotime.Instant
}

// reserve returns the delay until the given number of bytes may be sent; 0 means that they
// are counted as sent.
func (p *bulkLimiter) reserve(bytes int, now monotime.Instant) time.Duration {
	if p.rate == 0 {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.usedUntil = max(p.usedUntil, now.Add(-p.transmitTime(bulkBurst)))
	if p.usedUntil > now {
		return p.usedUntil.Sub(now)
	}
	p.usedUntil = p.usedUntil.Add(p.transmitTime(bytes))
	return 0
}

// transmitTime returns the time that the given number of bytes takes at the limited rate.
func (p *bulkLimiter) transmitTime(bytes int) time.Duration {
	return time.Duration(float64(bytes) / float64(p.rate) * float64(time.Second))
}
