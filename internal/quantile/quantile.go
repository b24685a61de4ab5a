// Package quantile summarises durations with HDR histograms, whose memory is bounded.
package quantile

import (
	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range in microseconds, from 1 µs to 24 h, and precision. Values outside the range are
// clamped to it. Two significant digits keep the error within 1%; a wider range or more
// digits take more memory per histogram.
const (
	minMicros         = 1
	maxMicros         = 24 * 3600 * 1000 * 1000
	significantDigits = 2
	microsPerMS       = 1000
)

// Summary describes the distribution of durations in milliseconds.
type Summary struct {
	// Count is the number of values.
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

// Histogram counts durations with an error of at most 1%. The zero value is ready to use.
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
	// The value was clamped to the range, so recording cannot fail.
	_ = h.hdr.RecordValue(int64(micros))
}

// Summary returns the distribution of the values recorded so far.
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
