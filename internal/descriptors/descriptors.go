// Package descriptors shares the file descriptors of the process among those who open
// sockets, so that none of them takes what the others need to go on.
package descriptors

import (
	"math"
	"sync"
)

// Kind is what descriptors are used for.
type Kind int

// The kinds.
const (
	// Callers are connections that callers opened.
	Callers Kind = iota
	// Servers are connections to servers.
	Servers
	// Tunnels are connections to servers that are passed on for other instances, and the
	// connections of these instances.
	Tunnels
	// Peers are links to other instances.
	Peers
	// Control are connections for readiness, addresses and metrics, and those of peers until
	// they are links or tunnels.
	Control
	kinds
)

// String returns the name of the kind, for metrics.
func (k Kind) String() string {
	return [...]string{"callers", "servers", "tunnels", "peers", "control"}[k]
}

const (
	// reservedShare of the limit is kept for files, listeners, the runtime and connections
	// that last for one question of this instance; it is at least minReserved.
	reservedShare = 1.0 / 12
	minReserved   = 64
)

// guaranteed is the share of the descriptors that each kind gets whatever the others use.
// Any kind may use the rest. A request takes one connection of a caller and one to a server.
var guaranteed = [kinds]float64{Callers: 0.3, Servers: 0.3, Tunnels: 0.05, Peers: 0.1, Control: 0.02}

// Budget counts the descriptors in use. It is safe for concurrent use.
type Budget struct {
	limit      int
	guaranteed [kinds]int

	mu   sync.Mutex
	used [kinds]int
}

// New returns a Budget for a process that may open so many descriptors.
func New(limit int) *Budget {
	b := &Budget{limit: max(0, limit-max(minReserved, int(reservedShare*float64(limit))))}
	for k, share := range guaranteed {
		b.guaranteed[k] = int(share * float64(b.limit))
	}
	return b
}

// Unlimited returns a Budget that is never used up.
func Unlimited() *Budget { return New(math.MaxInt32) }

// Limit returns the number of descriptors of all kinds together.
func (b *Budget) Limit() int { return b.limit }

// Take counts n further descriptors of a kind as used, unless too few are left.
func (b *Budget) Take(k Kind, n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.free(k) < n {
		return false
	}
	b.used[k] += n
	return true
}

// Release counts n descriptors of a kind as unused again.
func (b *Budget) Release(k Kind, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used[k] -= n
}

// Set sets how many descriptors of a kind are in use, where they are counted elsewhere.
func (b *Budget) Set(k Kind, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used[k] = n
}

// Free returns how many further descriptors of a kind can be opened.
func (b *Budget) Free(k Kind) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.free(k)
}

func (b *Budget) free(k Kind) int {
	out := b.limit
	for other, used := range b.used {
		if Kind(other) != k {
			used = max(used, b.guaranteed[other])
		}
		out -= used
	}
	return out
}

// ExceedsGuarantee reports whether a kind uses descriptors that others may claim.
func (b *Budget) ExceedsGuarantee(k Kind) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used[k] > b.guaranteed[k]
}

// Used returns how many descriptors each kind uses.
func (b *Budget) Used() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string]int, kinds)
	for k, used := range b.used {
		out[Kind(k).String()] = used
	}
	return out
}
