// Package timer provides timers and tickers for select statements. Late timers of package
// time are run by the goroutine that reads their channel, and the race detector crashes when
// two goroutines of a synctest bubble do so at the same time. These are run by the runtime
// only.
package timer

import (
	"sync"
	"time"
)

// Timer is like time.Timer. It must be created with New.
type Timer struct {
	// C receives a value when the timer fires.
	C <-chan struct{}

	fired chan struct{}

	mu      sync.Mutex
	pending *time.Timer
	setting uint64 // the number of calls of Reset and Stop
}

// New returns a timer that fires after d, or at once if d is not positive.
func New(d time.Duration) *Timer {
	t := NewStopped()
	t.Reset(d)
	return t
}

// NewStopped returns a timer that does not fire before it is reset.
func NewStopped() *Timer {
	fired := make(chan struct{}, 1)
	return &Timer{C: fired, fired: fired}
}

// Reset makes the timer fire after d, and not at the time set before. A value that has not
// been received is lost.
func (t *Timer) Reset(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.clear()
	setting := t.setting
	t.pending = time.AfterFunc(d, func() { t.fire(setting) })
}

// Stop prevents the timer from firing. A value that has not been received is lost.
func (t *Timer) Stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.clear()
}

// clear is called with mu held.
func (t *Timer) clear() {
	t.setting++
	if t.pending != nil {
		t.pending.Stop()
	}
	select {
	case <-t.fired:
	default:
	}
}

// fire does nothing if Reset or Stop was called after it started.
func (t *Timer) fire(setting uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if setting == t.setting {
		t.fired <- struct{}{}
	}
}

// Sleep waits for d. It returns false if canceled is closed first.
func Sleep(d time.Duration, canceled <-chan struct{}) bool {
	t := New(d)
	defer t.Stop()
	select {
	case <-canceled:
		return false
	case <-t.C:
		return true
	}
}
