package node

import (
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"basilrudder/internal/monotime"
)

// The histogram of token gaps resolves 100 µs at one significant digit, which keeps it
// small. Gaps above a minute count as a minute.
const (
	gapUnit       = 100 * time.Microsecond
	longestGap    = time.Minute
	gapDigits     = 1
	gapPercentile = 95
)

// Progress is the state of the relayed part of an attempt. Only the relaying goroutine
// calls RecordToken; the counters may be read at any time, without a lock.
type Progress struct {
	tokens atomic.Int64
	first  atomic.Int64
	last   atomic.Int64
	// gaps is nil before the second token: services and answers of one token have no gap,
	// and a histogram takes more memory than all other state of such a request.
	gaps *hdrhistogram.Histogram
}

// NewProgress returns an empty Progress.
func NewProgress() *Progress {
	return &Progress{}
}

// RecordToken records one token relayed at now.
func (p *Progress) RecordToken(now monotime.Instant) {
	last := monotime.Instant(p.last.Swap(int64(now)))
	if p.tokens.Add(1) == 1 {
		p.first.Store(int64(now))
		return
	}
	if p.gaps == nil {
		p.gaps = hdrhistogram.New(1, int64(longestGap/gapUnit), gapDigits)
	}
	gap := min(now.Sub(last), longestGap)
	_ = p.gaps.RecordValue(int64(gap / gapUnit))
}

// Tokens returns the number of tokens relayed.
func (p *Progress) Tokens() int {
	return int(p.tokens.Load())
}

// FirstTokenAt returns when the first token was relayed; 0 if none was.
func (p *Progress) FirstTokenAt() monotime.Instant {
	return monotime.Instant(p.first.Load())
}

// MeanGap returns the mean time between tokens; 0 for fewer than two tokens.
func (p *Progress) MeanGap() time.Duration {
	n := p.tokens.Load()
	if n < 2 {
		return 0
	}
	return time.Duration((p.last.Load() - p.first.Load()) / (n - 1))
}

// GapP95 returns the 95th percentile of the time between tokens. It must not be
// called while the attempt runs.
func (p *Progress) GapP95() time.Duration {
	if p.gaps == nil {
		return 0
	}
	return time.Duration(p.gaps.ValueAtQuantile(gapPercentile)) * gapUnit
}
