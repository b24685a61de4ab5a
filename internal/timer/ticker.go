package timer

import (
	"sync"
	"time"

	"basilrudder/internal/monotime"
)

// Ticker is like time.Ticker. It must be created with NewTicker.
type Ticker struct {
	// C receives a value at each tick. A tick is lost while the value of an earlier one has
	// not been received.
	C <-chan struct{}

	ticked chan struct{}
	every  time.Duration

	mu      sync.Mutex
	pending *time.Timer
	due     monotime.Instant
	stopped bool
}

// NewTicker returns a ticker that ticks at intervals of every, which must be positive.
func NewTicker(every time.Duration) *Ticker {
	ticked := make(chan struct{}, 1)
	t := &Ticker{C: ticked, ticked: ticked, every: every, due: monotime.Now().Add(every)}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pending = time.AfterFunc(every, t.tick)
	return t
}

// Stop ends the ticks. It does not close C.
func (t *Ticker) Stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	t.pending.Stop()
}

func (t *Ticker) tick() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped {
		return
	}
	select {
	case t.ticked <- struct{}{}:
	default:
	}
	now := monotime.Now()
	t.due = nextTick(t.due, now, t.every)
	t.pending.Reset(t.due.Sub(now))
}

// nextTick returns the earliest multiple of every after due that is later than now.
func nextTick(due, now monotime.Instant, every time.Duration) monotime.Instant {
	missed := max(now.Sub(due), 0) / every
	return due.Add((missed + 1) * every)
}
