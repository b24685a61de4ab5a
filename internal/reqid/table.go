package reqid

import (
	"container/heap"
	"time"

	"github.com/cespare/xxhash/v2"

	"basilrudder/internal/monotime"
)

// Claim is the result of Table.Claim.
type Claim uint8

const (
	// ClaimNew means that the id was new and is now claimed.
	ClaimNew Claim = iota
	// ClaimSeen means that the id was claimed before. The request must not be started again.
	ClaimSeen
	// ClaimExpired means that the id has expired. The table may have held it before.
	ClaimExpired
	// ClaimTooFar means that the expiry is further in the future than any issued one.
	ClaimTooFar
	// ClaimFull means that the table has reached its capacity.
	ClaimFull
)

type key uint64

type expiring struct {
	key key
	at  time.Duration
}

// Table holds every id that this incarnation has claimed until the id expires. Expiry is
// checked against the process's monotonic clock, so the size of the table is bounded by
// request rate times lifetime. It is not safe for concurrent use.
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

// RaiseLifetime raises how far ahead an expiry may be. It never lowers the limit, because
// ids issued with the longer lifetime may still be in use.
func (t *Table) RaiseLifetime(lifetime time.Duration) {
	t.lifetime = max(t.lifetime, lifetime)
}

// Len returns the number of claimed ids in the table.
func (t *Table) Len() int {
	return len(t.seen)
}

// Claim claims the id for one start of its request. The customer is not part of the key:
// engines identify a run by the id alone, so two customers must not run the same id.
//
// A hash collision refuses a request that never ran. With a million ids the probability is
// below one in ten million, and no request is run twice because of it.
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

// Release removes an id whose request certainly did not run, so that the caller may retry
// under it.
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
