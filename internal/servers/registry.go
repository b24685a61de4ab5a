// Package servers keeps what is known of the incarnations of upstream servers:
// which take requests, which are leaving and which are gone. It is pure: it
// takes the current instant and does no I/O.
package servers

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"basilrudder/internal/monotime"
)

// Server is one incarnation of an upstream server. Values are not changed once
// they are in a Registry.
type Server struct {
	// ID of the incarnation; a new start has a new one.
	ID string
	// Service it belongs to.
	Service string
	// Address is host and port. It may be given to another service later.
	Address string
	// DataCentre it stands in.
	DataCentre string
	// Slots is the number of requests it runs at once.
	Slots int
	// Draining servers take no new requests.
	Draining bool
	// Revision of the store at which this was so.
	Revision int64
}

const (
	// LapseGrace is how long an entry that is missing after the store was away
	// still counts: servers that live write theirs again within 2 s. Somewhat
	// less, because a server that did leave must get no request later than 2 s
	// after its removal was acknowledged.
	LapseGrace = 1700 * time.Millisecond
	// tombstoneLife is how long an incarnation that is gone is remembered, so
	// that late news of a peer does not bring it back. Ids are not used again.
	tombstoneLife = 5 * time.Minute
)

// record is a server with what is believed of it beyond its entry.
type record struct {
	server Server
	// lapsesAt is when the server counts as gone unless its entry comes back; 0
	// for an entry that the store has.
	lapsesAt monotime.Instant
}

// tombstone marks an incarnation that is gone.
type tombstone struct {
	revision int64
	at       monotime.Instant
}

// Registry is the set of known servers. It is not safe for concurrent use.
type Registry struct {
	live map[string]*record
	gone map[string]tombstone
	// unstableUntil is when removals are final again after the store was away; 0
	// when it never was.
	unstableUntil monotime.Instant
}

// New returns an empty Registry.
func New() *Registry {
	return &Registry{live: make(map[string]*record), gone: make(map[string]tombstone)}
}

// Change tells what an update did.
type Change uint8

// Changes.
const (
	// Unchanged: the update was known or older than what is known.
	Unchanged Change = iota
	// Added: the server is new, or came back.
	Added
	// Updated: an entry changed.
	Updated
	// Lapsing: the entry is missing, and may come back.
	Lapsing
	// Removed: the server is gone.
	Removed
)

// String names the change for logs.
func (c Change) String() string {
	return [...]string{"unchanged", "added", "updated", "lapsing", "removed"}[c]
}

// Put takes an entry of the store, read directly or told by a peer. A server
// that was seen draining never takes requests again.
func (r *Registry) Put(s Server, now monotime.Instant) Change {
	if stone, ok := r.gone[s.ID]; ok {
		if s.Revision <= stone.revision {
			return Unchanged
		}
		delete(r.gone, s.ID)
	}
	known := r.live[s.ID]
	if known == nil {
		if r.superseded(s) {
			return Unchanged
		}
		r.live[s.ID] = &record{server: s}
		return Added
	}
	if s.Revision < known.server.Revision {
		return Unchanged
	}
	s.Draining = s.Draining || known.server.Draining
	same := known.server == s
	wasLapsing := known.lapsesAt != 0 && s.Revision > known.server.Revision
	if s.Revision > known.server.Revision {
		known.lapsesAt = 0
	}
	known.server = s
	switch {
	case wasLapsing:
		return Added
	case same:
		return Unchanged
	default:
		return Updated
	}
}

// superseded reports whether a newer incarnation has the address of s. Those
// that s itself follows get no more requests.
//
// A server that crashed and came back writes a new entry at once; its old one
// lapses three heartbeats later. Requests meant for the old one would reach the
// new one, which refuses them, and callers would have to come back.
func (r *Registry) superseded(s Server) bool {
	for _, other := range r.live {
		if other.server.Address != s.Address {
			continue
		}
		if other.server.Revision > s.Revision {
			return true
		}
		other.server.Draining = true
	}
	return false
}

// Remove takes the removal of an entry at a revision.
//
// While the store is away the entries of servers that live may run out. Were
// they dropped at once, a whole service could vanish for two seconds after each
// outage. So a removal seen shortly after one only counts when the entry does
// not come back; that of a server that was leaving counts at once.
func (r *Registry) Remove(id string, revision int64, now monotime.Instant) Change {
	known := r.live[id]
	if known == nil || revision < known.server.Revision {
		return Unchanged
	}
	if r.unstableUntil != 0 && now < r.unstableUntil && !known.server.Draining {
		if known.lapsesAt != 0 {
			return Unchanged
		}
		known.lapsesAt = r.unstableUntil
		known.server.Revision = revision
		return Lapsing
	}
	r.bury(id, revision, now)
	return Removed
}

// Bury takes a peer's word that an incarnation is gone for good.
func (r *Registry) Bury(id string, revision int64, now monotime.Instant) Change {
	known := r.live[id]
	if known != nil && revision < known.server.Revision {
		return Unchanged
	}
	if _, ok := r.gone[id]; ok {
		return Unchanged
	}
	r.bury(id, revision, now)
	if known == nil {
		return Unchanged
	}
	return Removed
}

func (r *Registry) bury(id string, revision int64, now monotime.Instant) {
	delete(r.live, id)
	r.gone[id] = tombstone{revision: revision, at: now}
}

// StoreReturned tells that the store answers again after it was away.
func (r *Registry) StoreReturned(now monotime.Instant) {
	r.unstableUntil = now.Add(LapseGrace)
}

// Replace takes a full list of the store, read at a revision, and returns the
// ids whose entries are missing from it.
func (r *Registry) Replace(list []Server, revision int64, now monotime.Instant) (changed []string) {
	present := make(map[string]bool, len(list))
	for _, s := range list {
		present[s.ID] = true
		if r.Put(s, now) != Unchanged {
			changed = append(changed, s.ID)
		}
	}
	for _, id := range r.ids() {
		known := r.live[id]
		if !present[id] && known.server.Revision <= revision && r.Remove(id, revision, now) != Unchanged {
			changed = append(changed, id)
		}
	}
	return changed
}

// Expire drops servers whose entries did not come back, forgets old
// tombstones, and returns the ids of the dropped.
func (r *Registry) Expire(now monotime.Instant) (removed []string) {
	for _, id := range r.ids() {
		known := r.live[id]
		if known.lapsesAt != 0 && now >= known.lapsesAt {
			r.bury(id, known.server.Revision, now)
			removed = append(removed, id)
		}
	}
	for id, stone := range r.gone {
		if now.Sub(stone.at) > tombstoneLife {
			delete(r.gone, id)
		}
	}
	return removed
}

// Get returns a live server.
func (r *Registry) Get(id string) (Server, bool) {
	known := r.live[id]
	if known == nil {
		return Server{}, false
	}
	return known.server, true
}

// Gone returns the revision at which an incarnation was removed.
func (r *Registry) Gone(id string) (revision int64, gone bool) {
	stone, ok := r.gone[id]
	return stone.revision, ok
}

// Digest is the same for registries in which the same servers take requests,
// and differs, but for chance, for others.
func (r *Registry) Digest() uint64 {
	var digest uint64
	for id, known := range r.live {
		if !known.server.Draining {
			digest ^= xxhash.Sum64String(id)
		}
	}
	return digest
}

// Tombstones returns the incarnations that are gone, with the revisions at which
// they were removed.
func (r *Registry) Tombstones() map[string]int64 {
	out := make(map[string]int64, len(r.gone))
	for id, stone := range r.gone {
		out[id] = stone.revision
	}
	return out
}

// List returns the live servers by id, those that are leaving among them.
func (r *Registry) List() []Server {
	out := make([]Server, 0, len(r.live))
	for _, known := range r.live {
		out = append(out, known.server)
	}
	slices.SortFunc(out, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

func (r *Registry) ids() []string {
	out := make([]string, 0, len(r.live))
	for id := range r.live {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}
