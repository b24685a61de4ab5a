// Package membudget shares the memory of the process among requests, so that what clients send and
// leave unread ends no process.
package membudget

import "sync/atomic"

const (
	bytesPerMB = 1_000_000
	// requestShare of the machine's memory is for requests; the rest is for the state of the
	// instance, the runtime, garbage and the buffers of sockets.
	requestShare = 0.375
	// defaultMB is assumed where the machine's memory is not known.
	defaultMB = 128
	// smallReserve is the share of a budget that only holders of up to Small bytes may use: a few
	// large requests would take all of it otherwise.
	smallReserve = 1.0 / 8
	// Small is the size of a small holder in bytes.
	Small = 64 << 10
)

// Budget counts the bytes that requests hold. It is safe for concurrent use.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// New returns a Budget of so many bytes.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// ForMachine returns the Budget of a process that may use so many MB; 0 for unknown.
func ForMachine(memoryMB int) *Budget {
	if memoryMB == 0 {
		memoryMB = defaultMB
	}
	return New(int64(requestShare * float64(memoryMB) * bytesPerMB))
}

// Take counts n further bytes for a holder of held ones, unless too few are left.
func (b *Budget) Take(n, held int64) bool {
	limit := b.limit
	if held+n > Small {
		limit -= int64(smallReserve * float64(b.limit))
	}
	if b.used.Add(n) > limit {
		b.used.Add(-n)
		return false
	}
	return true
}

// Release counts n bytes as free again.
func (b *Budget) Release(n int64) { b.used.Add(-n) }

// Used returns how many bytes are held.
func (b *Budget) Used() int64 { return b.used.Load() }

// Limit returns how many bytes can be held.
func (b *Budget) Limit() int64 { return b.limit }
