// Package monotime gives instants of the process's monotonic clock. Decision
// code takes an Instant as an argument and never reads a clock itself, so that
// it can be replayed.
package monotime

import "time"

// Instant is a point of the monotonic clock in nanoseconds since the start of
// the process. Zero is before every instant that Now returns.
type Instant int64

var start = time.Now().Add(-time.Nanosecond)

// Now returns the current instant. A stopped process (SIGSTOP) sees the time
// it was stopped for; a clock step does not show.
func Now() Instant {
	return Instant(time.Since(start))
}

// Add returns i plus d.
func (i Instant) Add(d time.Duration) Instant {
	return i + Instant(d)
}

// Sub returns the time from j to i.
func (i Instant) Sub(j Instant) time.Duration {
	return time.Duration(i - j)
}

// Before reports whether i is earlier than j.
func (i Instant) Before(j Instant) bool {
	return i < j
}
