package crashes

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// fullTracker returns a tracker at its bounds, with two ends of most contents.
func fullTracker() *Tracker {
	t := NewTracker()
	for n := 0; t.Len() < maxSuspects; n++ {
		at := start.Add(time.Duration(n/8) * time.Millisecond)
		id, next := fmt.Sprint("p", n), fmt.Sprint("p", n+1)
		t.Add(partCrash(n, fmt.Sprint("c", n%1000), fmt.Sprint("s", n/8), at, "shared", id, next), at)
	}
	return t
}

// BenchmarkFindCulprits measures how long a tracker at its bounds takes, and its memory.
func BenchmarkFindCulprits(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	t := fullTracker()
	runtime.GC()
	runtime.ReadMemStats(&after)
	for b.Loop() {
		t.changed = true
		t.Culprits(start)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "bytes")
	runtime.KeepAlive(t)
}
