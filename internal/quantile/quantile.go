// Package quantile summarises durations by HDR histograms of bounded memory.
package quantile

import (
	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision, in microseconds. A value outside is taken for the bound.
const (
	minMicros   = 1
	maxMicros   = 24 * 3600 * 1000 * 1000
	digits      = 2
	microsPerMS = 1000
)

// Summary tells how values are distributed, in milliseconds.
type Summary struct {
	// Count of values.
	Count int64 `json:"count"`
	// P50 is the median.
	P50 float64 `json:"p50"`
	// P95 is the 95th percentile.
	P95 float64 `json:"p95"`
	// P99 is the 99th percentile.
	P99 float64 `json:"p99"`
	// Max is the largest value.
	Max float64 `json:"max"`
}

// Histogram counts durations within 1% of their value. The zero value is ready.
// It is not safe for concurrent use.
type Histogram struct {
	inner *hdrhistogram.Histogram
}

// Record adds a duration in milliseconds.
func (h *Histogram) Record(ms float64) {
	if h.inner == nil {
		h.inner = hdrhistogram.New(minMicros, maxMicros, digits)
	}
	micros := min(max(ms*microsPerMS, minMicros), maxMicros)
	// The value is in range, so recording cannot fail.
	_ = h.inner.RecordValue(int64(micros))
}

// Summary returns the distribution so far.
func (h *Histogram) Summary() Summary {
	if h.inner == nil {
		return Summary{}
	}
	return Summary{
		Count: h.inner.TotalCount(),
		P50:   milliseconds(h.inner.ValueAtQuantile(50)),
		P95:   milliseconds(h.inner.ValueAtQuantile(95)),
		P99:   milliseconds(h.inner.ValueAtQuantile(99)),
		Max:   milliseconds(h.inner.Max()),
	}
}

func milliseconds(micros int64) float64 {
	return float64(micros) / microsPerMS
}
