package gcpace

import (
	"runtime/debug"
	"testing"
	"time"

	"basilrudder/internal/monotime"
)

const mb = 1e6

// Guards against a heap that grows by much where little is allocated, and against a process
// that spends its time on collections.
func TestTheHeapGrowsByWhatIsAllocated(t *testing.T) {
	for _, c := range []struct {
		held, rate float64
		min, max   float64 // growth in bytes
	}{
		{6 * mb, 0.5 * mb, 4 * mb, 5 * mb},
		{6 * mb, 6 * mb, 5 * mb, 7 * mb},
		{2 * mb, 50 * mb, 6 * mb, 6 * mb},
		{100 * mb, 0, 75 * mb, 75 * mb},
	} {
		if growth := float64(percentFor(c.held, c.rate)) / 100 * c.held; growth < c.min || growth > c.max {
			t.Errorf("%v held, %v allocated a second: grows by %v", c.held, c.rate, growth)
		}
	}
}

// Guards against a rate of allocation that is not noticed.
func TestThePercentageFollowsTheRateOfAllocation(t *testing.T) {
	defer debug.SetGCPercent(debug.SetGCPercent(100))
	now := monotime.Instant(time.Hour)
	p := New(now)
	for range 20 {
		now = now.Add(time.Second)
		p.Update(now)
	}
	if p.percent != minPercent {
		t.Errorf("%d percent without allocations", p.percent)
	}
	for range 20 {
		now = now.Add(time.Second)
		p.allocated -= 100 * mb // as if so many bytes had been allocated; it may wrap around
		p.Update(now)
	}
	if p.percent <= minPercent {
		t.Errorf("%d percent at %.0f bytes a second", p.percent, p.rate)
	}
}
