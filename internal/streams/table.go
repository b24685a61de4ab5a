// Package streams remembers which software version began each stream that may be resumed,
// and which versions the servers of a service have had. A stream may go on only at servers
// of the version that began it.
package streams

import (
	"crypto/sha256"
	"encoding/binary"
	"math"
	"strconv"
	"sync"
	"time"

	"basilrudder/internal/monotime"
)

const (
	// minKept is how long a stream is remembered at least.
	minKept = 30 * time.Second
	// maxStreams bounds the streams remembered for that time: 4,300 begin each second in the
	// largest fleet.
	maxStreams = 1 << 17
)

// Key identifies a stream. It fits into a non-negative int64.
type Key uint64

// KeyOf returns the key of the stream of a service whose first event came with a try.
func KeyOf(service, try string) Key {
	sum := sha256.Sum256([]byte(strconv.Itoa(len(service)) + ":" + service + try))
	return Key(binary.BigEndian.Uint64(sum[:]) >> 1)
}

// Record is what is known of a stream.
type Record struct {
	// Version of the software that began it.
	Version string
	// From is the instance that reported it.
	From string
	// At is when this process heard of it.
	At monotime.Instant
}

// Table holds the streams that began lately. It is safe for concurrent use.
type Table struct {
	mu sync.Mutex
	// kept is how long a stream is remembered at least; newer are the streams of the current
	// span of this length, and older those of the one before it.
	kept         time.Duration
	newer, older map[Key]entry
	turnedAt     monotime.Instant
	names        names
}

// entry is a Record in a few bytes: one is kept for each stream of the fleet.
type entry struct {
	version, from uint16
	at            uint32 // milliseconds since the start of the clock, modulo 1 << 32
}

// conflicting stands for the version of a stream that several versions are said to have
// begun.
const conflicting = math.MaxUint16

// NewTable returns an empty Table.
func NewTable() *Table {
	return &Table{kept: minKept, newer: make(map[Key]entry), names: names{numbers: make(map[string]uint16)}}
}

// Keep remembers streams for at least so long from now on.
func (t *Table) Keep(lifetime time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.kept = min(max(t.kept, lifetime), maxLifetime)
}

// Put records that a version began a stream, as an instance reports.
func (t *Table) Put(k Key, version, from string, now monotime.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.turn(now)
	number, ok := t.names.number(version)
	sender, senderOK := t.names.number(from)
	if !ok || !senderOK {
		return
	}
	if known, ok := t.find(k); ok {
		if known.version != number {
			known.version = conflicting
			t.newer[k] = known
		}
		return
	}
	if len(t.newer) >= maxStreams {
		t.forgetOlder(now)
	}
	t.newer[k] = entry{number, sender, milliseconds(now)}
}

// Get returns what is known of a stream; false if nothing is, or versions contradict each
// other.
func (t *Table) Get(k Key, now monotime.Instant) (Record, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.turn(now)
	e, ok := t.find(k)
	if !ok || e.version == conflicting {
		return Record{}, false
	}
	age := time.Duration(milliseconds(now)-e.at) * time.Millisecond
	return Record{Version: t.names.list[e.version], From: t.names.list[e.from], At: now.Add(-age)}, true
}

// Len returns the number of streams remembered.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.newer) + len(t.older)
}

func (t *Table) find(k Key) (entry, bool) {
	if e, ok := t.newer[k]; ok {
		return e, true
	}
	e, ok := t.older[k]
	return e, ok
}

// turn forgets the older streams once the newer ones have been collected for long enough.
func (t *Table) turn(now monotime.Instant) {
	switch {
	case now.Sub(t.turnedAt) >= 2*t.kept:
		t.newer = make(map[Key]entry)
		t.forgetOlder(now)
	case now.Sub(t.turnedAt) >= t.kept:
		t.forgetOlder(now)
	}
}

func (t *Table) forgetOlder(now monotime.Instant) {
	t.older, t.newer = t.newer, make(map[Key]entry)
	t.turnedAt = now
}

func milliseconds(at monotime.Instant) uint32 { return uint32(int64(at) / int64(time.Millisecond)) }

// names numbers the names of versions and instances.
type names struct {
	list    []string
	numbers map[string]uint16
}

// number returns the number of a name; false if there are too many names.
func (n *names) number(name string) (uint16, bool) {
	if number, ok := n.numbers[name]; ok {
		return number, true
	}
	if len(n.list) >= conflicting {
		return 0, false
	}
	number := uint16(len(n.list))
	n.list = append(n.list, name)
	n.numbers[name] = number
	return number, true
}
