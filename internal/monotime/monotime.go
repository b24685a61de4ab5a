// Package monotime provides instants of the process's monotonic clock. Code that makes
// decisions takes an Instant as an argument and never reads a clock itself, so its
// decisions can be replayed.
package monotime

import "time"

// Instant is a time of the monotonic clock in nanoseconds since the start of the process.
// Zero is before every instant that Now returns.
type Instant int64

var start = time.Now().Add(-time.Nanosecond)

// Now returns the current instant. It includes the time for which the process was stopped
// (SIGSTOP), and steps of the wall clock do not affect it.
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
