package peer

import (
	"sync"
	"time"

	"basilrudder/internal/monotime"
)

// bulkBurst is how much bulk may be sent at once after a rest, in bytes.
const bulkBurst = 64 << 10

// bulkLimiter spreads bulk over time on all links together, so that a buffer of the system
// holds little of it when something urgent is sent.
type bulkLimiter struct {
	rate int // bytes a second; 0 for no bound

	mu sync.Mutex
	// usedUntil is the instant up to which the rate is used up.
	usedUntil monotime.Instant
}

// reserve reports how long to wait before so many bytes may be sent; 0 says that they are
// counted as sent.
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

func (p *bulkLimiter) transmitTime(bytes int) time.Duration {
	return time.Duration(float64(bytes) / float64(p.rate) * float64(time.Second))
}
