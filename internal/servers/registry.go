// Package servers keeps what is known of the incarnations of upstream servers:
// which take requests, which are leaving and which are gone. It is pure: it
// takes the current instant and does no I/O.
package servers

import (
	"maps"

	"basilrudder/internal/monotime"
)

// record is a server with what is believed of it beyond its entry.
type record struct {
	server Server
	// coldUntil is when the server has become warm; 0 for one that is.
	coldUntil monotime.Instant
	// graceEndsAt is when the server counts as gone unless its entry comes back; 0
	// for an entry that the store has.
	graceEndsAt monotime.Instant
	// rateLimit is whether it names a limit.
	rateLimit RateLimit
	// firstInEra is the first revision of its entry heard of in the era of the entry.
	firstInEra Revision
}

// Registry is the set of known servers. It is not safe for concurrent use.
type Registry struct {
	live map[string]*record
	gone map[string]tombstone
	// current is the live incarnation of each name, and newest when the last one
	// known of it was born.
	current    map[string]string
	newestBorn map[string]int64
	// replaced are incarnations that ended since they were last asked for because
	// their server has started again.
	replaced []string
	// evacuations holds what the store last said of each data centre.
	evacuations map[string]Evacuation
	// deferred are what a new era says of data centres against what was known.
	deferred map[string]Evacuation
	// unstableUntil is when removals are final again after the store was away; 0
	// when it never was.
	unstableUntil monotime.Instant
	// latest is the highest revision heard of, and eraSince when its era was; 0 for the
	// first era that is known here.
	latest   Revision
	eraSince monotime.Instant
	// copiedEntries are entries of incarnations that ended in an era before, by id, which may
	// stand in the store only because its copy has them.
	copiedEntries map[string]Server
	// listed is the revision of the last full list, and firstListInEra of the first one of its
	// era.
	listed, firstListInEra Revision
}

// New returns an empty Registry.
func New() *Registry {
	return &Registry{
		live: make(map[string]*record), gone: make(map[string]tombstone),
		current: make(map[string]string), newestBorn: make(map[string]int64),
		evacuations: make(map[string]Evacuation), deferred: make(map[string]Evacuation),
		copiedEntries: make(map[string]Server),
	}
}

// Put takes an entry of the store, read directly or told by a peer. A server
// that was seen draining takes no requests again before its next start.
//
// A server that started again may write its entry before late ones of its former
// start arrive, from the store or from a peer. Those change nothing: the order of
// starts goes before the order of writes.
func (r *Registry) Put(s Server, now monotime.Instant) Change {
	if s.Born < r.newestBorn[s.Name] {
		return Unchanged
	}
	r.observe(s.Revision, now)
	coldUntil := warmAt(s.ColdLeft, now)
	s.ColdLeft = 0
	if stone, ok := r.gone[s.ID]; ok {
		if !r.endsTombstone(stone, &s, now) {
			return Unchanged
		}
		s.Draining = s.Draining || stone.draining
		delete(r.gone, s.ID)
	}
	rec := r.live[s.ID]
	if rec == nil {
		r.endFormer(s, now)
		r.live[s.ID] = &record{server: s, coldUntil: coldUntil, firstInEra: s.Revision}
		r.current[s.Name], r.newestBorn[s.Name] = s.ID, s.Born
		return Added
	}
	return rec.update(s, coldUntil)
}

// update takes an entry of the same incarnation.
func (rec *record) update(s Server, coldUntil monotime.Instant) Change {
	if s.Revision < rec.server.Revision {
		if s.Draining {
			return rec.drain()
		}
		return Unchanged
	}
	s.Draining = s.Draining || rec.server.Draining
	same := rec.server == s
	wasInGrace := rec.graceEndsAt != 0 && s.Revision > rec.server.Revision
	if s.Revision > rec.server.Revision {
		rec.renew(&s, coldUntil)
	}
	rec.server = s
	switch {
	case wasInGrace:
		return Added
	case same:
		return Unchanged
	default:
		return Updated
	}
}

// renew notes that the store has a later entry.
func (rec *record) renew(s *Server, coldUntil monotime.Instant) {
	rec.graceEndsAt = 0
	if s.Revision.Era() > rec.server.Revision.Era() {
		// The copy may be from before the server turned cold.
		coldUntil = max(coldUntil, rec.coldUntil)
		rec.firstInEra = s.Revision
	}
	rec.coldUntil = coldUntil
}

// drain notes that a server leaves. No later word of its incarnation takes that back: it
// may come from the server itself, which the store and its revisions know nothing of, or
// from a peer whose entry of the server is older.
func (rec *record) drain() Change {
	if rec.server.Draining {
		return Unchanged
	}
	rec.server.Draining = true
	return Updated
}

// endFormer ends the former incarnation of a server that has started again.
func (r *Registry) endFormer(s Server, now monotime.Instant) {
	former, ok := r.current[s.Name]
	if !ok {
		return
	}
	r.addTombstone(former, s.Revision, now)
	r.replaced = append(r.replaced, former)
}

// Replaced returns the incarnations that ended since the last call because their
// server has started again.
func (r *Registry) Replaced() []string {
	out := r.replaced
	r.replaced = nil
	return out
}

// Invalidate takes an entry that can't be read. Its name is not used until one
// that can be read follows; the entries of other names hold. It returns the id of
// the incarnation that this changes.
func (r *Registry) Invalidate(m EntryRef, now monotime.Instant) (id string, change Change) {
	r.observe(m.Revision, now)
	id = r.current[m.Name]
	rec := r.live[id]
	if rec == nil || m.Revision <= rec.server.Revision {
		return id, Unchanged
	}
	rec.server.Invalid, rec.server.Revision = true, m.Revision
	return id, Updated
}

// Replace takes a full list of the store, read at a revision: the entries that can
// be read and marks of those that can't. It returns the ids of what changed,
// those whose entries are missing among them.
func (r *Registry) Replace(list []Server, invalid []EntryRef, revision Revision, now monotime.Instant) (changed []string) {
	r.observeList(revision, now)
	present := make(map[string]bool, len(list))
	for _, s := range list {
		present[s.Name] = true
		if r.Put(s, now) != Unchanged {
			changed = append(changed, s.ID)
		}
	}
	for _, m := range invalid {
		present[m.Name] = true
		if id, change := r.Invalidate(m, now); change != Unchanged {
			changed = append(changed, id)
		}
	}
	maps.DeleteFunc(r.copiedEntries, func(_ string, s Server) bool { return !present[s.Name] })
	for _, id := range r.ids() {
		entry := r.live[id].server
		if present[entry.Name] || entry.Revision > revision {
			continue
		}
		if _, change := r.Remove(entry.Name, revision, now); change != Unchanged {
			changed = append(changed, id)
		}
	}
	return changed
}
