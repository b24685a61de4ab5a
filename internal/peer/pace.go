package peer

import (
	"sync"
	"time"

	"basilrudder/internal/monotime"
)

// bulkBurst is how much bulk may be sent at once after a rest, in bytes.
const bulkBurst = 64 << 10

// bulkPace spreads bulk over time on all links together, so that a buffer of the system
// holds little of it when something urgent is sent.
type bulkPace struct {
	rate int // bytes a second; 0 for no bound

	mu sync.Mutex
	// paid is the instant up to which the rate is used up.
	paid monotime.Instant
}

// take reports how long to wait before so many bytes may be sent; 0 says that they are
// counted as sent.
func (p *bulkPace) take(bytes int, now monotime.Instant) time.Duration {
	if p.rate == 0 {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.paid = max(p.paid, now.Add(-p.lasts(bulkBurst)))
	if p.paid > now {
		return p.paid.Sub(now)
	}
	p.paid = p.paid.Add(p.lasts(bytes))
	return 0
}

func (p *bulkPace) lasts(bytes int) time.Duration {
	return time.Duration(float64(bytes) / float64(p.rate) * float64(time.Second))
}
