// Package quantile summarises durations by HDR histograms of bounded memory.
package quantile

import (
	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision, in microseconds. A value outside is taken for the bound.
const (
	minMicros         = 1
	maxMicros         = 24 * 3600 * 1000 * 1000
	significantDigits = 2
	microsPerMS       = 1000
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
	hdr *hdrhistogram.Histogram
}

// Record adds a duration in milliseconds.
func (h *Histogram) Record(ms float64) {
	if h.hdr == nil {
		h.hdr = hdrhistogram.New(minMicros, maxMicros, significantDigits)
	}
	micros := min(max(ms*microsPerMS, minMicros), maxMicros)
	// The value is in range, so recording cannot fail.
	_ = h.hdr.RecordValue(int64(micros))
}

// Summary returns the distribution so far.
func (h *Histogram) Summary() Summary {
	if h.hdr == nil {
		return Summary{}
	}
	return Summary{
		Count: h.hdr.TotalCount(),
		P50:   milliseconds(h.hdr.ValueAtQuantile(50)),
		P95:   milliseconds(h.hdr.ValueAtQuantile(95)),
		P99:   milliseconds(h.hdr.ValueAtQuantile(99)),
		Max:   milliseconds(h.hdr.Max()),
	}
}

func milliseconds(micros int64) float64 {
	return float64(micros) / microsPerMS
}
