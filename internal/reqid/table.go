package reqid

import (
	"container/heap"
	"time"

	"github.com/cespare/xxhash/v2"

	"basilrudder/internal/monotime"
)

// Claim is the answer of a Table to an id.
type Claim uint8

const (
	// ClaimNew means the id was not seen before and is now taken.
	ClaimNew Claim = iota
	// ClaimSeen means the id was taken before; it must not be started again.
	ClaimSeen
	// ClaimExpired means that the table may have forgotten the id.
	ClaimExpired
	// ClaimTooFar means that the expiry lies further ahead than is ever issued.
	ClaimTooFar
	// ClaimFull means that the table can remember no further id.
	ClaimFull
)

type key uint64

type expiring struct {
	key key
	at  time.Duration
}

// Table remembers every id that this incarnation has taken, until it expires.
// Expiry is judged by the process's monotonic clock, so the table is bounded
// by rate times lifetime. It is not safe for concurrent use.
type Table struct {
	capacity int
	lifetime time.Duration
	seen     map[key]struct{}
	byExpiry expiryHeap
}

// NewTable returns a table of at most capacity ids that accepts expiries up to
// lifetime ahead.
func NewTable(capacity int, lifetime time.Duration) *Table {
	return &Table{
		capacity: capacity,
		lifetime: lifetime,
		seen:     make(map[key]struct{}),
	}
}

// RaiseLifetime changes how far ahead an expiry may lie.
func (t *Table) RaiseLifetime(lifetime time.Duration) {
	t.lifetime = max(t.lifetime, lifetime)
}

// Len returns the number of ids remembered.
func (t *Table) Len() int {
	return len(t.seen)
}

// Claim takes the id. It does not depend on the customer: engines know a run by
// its id alone, so two customers must not run the same one.
//
// A hash collision would refuse a request that never ran; at a million ids the
// chance is below one in ten million, and it errs on the side of not running.
func (t *Table) Claim(now monotime.Instant, id ID) Claim {
	uptime := time.Duration(now)
	t.expire(uptime)
	if id.Expiry <= uptime {
		return ClaimExpired
	}
	if id.Expiry > uptime+t.lifetime+maxClockSkew {
		return ClaimTooFar
	}
	k := keyOf(id.Text)
	if _, ok := t.seen[k]; ok {
		return ClaimSeen
	}
	if len(t.seen) >= t.capacity {
		return ClaimFull
	}
	t.seen[k] = struct{}{}
	heap.Push(&t.byExpiry, expiring{key: k, at: id.Expiry})
	return ClaimNew
}

// Release gives an id back whose request surely did not run, so that the caller
// may send it again.
func (t *Table) Release(id string) {
	delete(t.seen, keyOf(id))
}

func keyOf(id string) key {
	return key(xxhash.Sum64String(id))
}

func (t *Table) expire(uptime time.Duration) {
	for len(t.byExpiry) > 0 && t.byExpiry[0].at <= uptime {
		oldest := heap.Pop(&t.byExpiry).(expiring)
		delete(t.seen, oldest.key)
	}
}

// expiryHeap implements heap.Interface, earliest expiry first.
type expiryHeap []expiring

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h expiryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *expiryHeap) Push(x any)        { *h = append(*h, x.(expiring)) }

func (h *expiryHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
