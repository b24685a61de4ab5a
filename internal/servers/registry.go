// Package servers tracks the incarnations of upstream servers: which accept requests,
// which are draining and which are gone. It does no I/O and takes the current instant as
// a parameter.
package servers

import (
	"maps"

	"basilrudder/internal/monotime"
)

// record is the state of a live server: its entry and what this instance derived or
// received besides.
type record struct {
	server Server
	// coldUntil is the instant at which the server becomes warm; 0 for a warm one.
	coldUntil monotime.Instant
	// graceEndsAt is when the server counts as gone unless its entry reappears; 0 while
	// the store has the entry.
	graceEndsAt monotime.Instant
	// rateLimit is the limit that the server advertises, if any.
	rateLimit RateLimit
	// brittleness is how many refusals it survives, if it says so.
	brittleness Brittleness
	// firstInEra is the first revision observed of its entry in the entry's era.
	firstInEra Revision
	// counted is whether the server is part of Registry.digests.
	counted bool
}

// Registry tracks servers and evacuations. It is not safe for concurrent use.
type Registry struct {
	live map[string]*record
	gone map[string]tombstone
	// inGrace holds the ids of the live records with a grace period.
	inGrace map[string]struct{}
	// expiring lists tombstones in the order of their times. One that was removed or
	// replaced since is still listed.
	expiring []expiringTombstone
	// tombstoneCount is the number of tombstones of each name.
	tombstoneCount map[Name]int
	// current is the live incarnation of each name, and newestBorn the birth of the
	// newest incarnation observed of it.
	current    map[Name]string
	newestBorn map[Name]int64
	// replaced are the incarnations that ended by a restart of their server since the
	// last call of Replaced.
	replaced []string
	// digests combines, for each bucket, the hashes of its servers that accept requests,
	// limited holds the ids of those that advertise a limit, and brittle of those that say
	// that they are brittle.
	digests [Buckets]uint64
	limited map[string]struct{}
	brittle map[string]struct{}
	// versions counts the live servers of each software version, by service.
	versions versionCounts
	// evacuations holds the state in force of each data centre.
	evacuations map[string]Evacuation
	// deferred holds states of a new era that contradict those in evacuations.
	deferred map[string]Evacuation
	// unstableUntil is when removals are final again after an outage of the store; 0 if
	// there was none.
	unstableUntil monotime.Instant
	// latest is the highest revision observed, and eraSince when its era was first
	// observed; 0 for the first era observed.
	latest   Revision
	eraSince monotime.Instant
	// copiedEntries are entries, by id, of incarnations that ended in an earlier era.
	// They may be in the store only because its copy has them.
	copiedEntries map[string]Server
	// listed is the revision of the last full list, and firstListInEra that of the first
	// list of its era.
	listed, firstListInEra Revision
}

// New returns an empty Registry.
func New() *Registry {
	return &Registry{
		live: make(map[string]*record), gone: make(map[string]tombstone),
		inGrace: make(map[string]struct{}), limited: make(map[string]struct{}), brittle: make(map[string]struct{}), tombstoneCount: make(map[Name]int),
		current: make(map[Name]string), newestBorn: make(map[Name]int64),
		evacuations: make(map[string]Evacuation), deferred: make(map[string]Evacuation),
		copiedEntries: make(map[string]Server), versions: newVersionCounts(),
	}
}

// Put applies an entry read from the store or received from a peer. A server that was
// draining accepts no requests again before its next start.
//
// A restarted server may write its entry before late ones of its former start arrive,
// from the store or from a peer. Those are ignored: the order of starts takes precedence
// over the order of writes.
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
		r.removeTombstone(s.ID)
	}
	rec := r.live[s.ID]
	if rec == nil {
		r.endFormer(s, now)
		rec = &record{server: s, coldUntil: coldUntil, firstInEra: s.Revision}
		r.live[s.ID] = rec
		r.versions.add(&rec.server, 1)
		r.updateDigest(rec)
		r.current[s.Name], r.newestBorn[s.Name] = s.ID, s.Born
		return Added
	}
	before := rec.server
	change := rec.update(s, coldUntil)
	r.versions.add(&rec.server, 1)
	r.versions.add(&before, -1)
	r.updateDigest(rec)
	if rec.graceEndsAt == 0 {
		delete(r.inGrace, s.ID)
	}
	return change
}

// update applies an entry of the same incarnation.
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

// renew applies a later entry: it ends the grace period and replaces the cold time.
func (rec *record) renew(s *Server, coldUntil monotime.Instant) {
	rec.graceEndsAt = 0
	if s.Revision.Era() > rec.server.Revision.Era() {
		// The copy may be older than the server's cold start.
		coldUntil = max(coldUntil, rec.coldUntil)
		rec.firstInEra = s.Revision
	}
	rec.coldUntil = coldUntil
}

// drain marks the server as draining. No later entry of the incarnation undoes that: the
// notice may come from the server itself, which the store's revisions do not cover, or
// from a peer whose entry of the server is older.
func (rec *record) drain() Change {
	if rec.server.Draining {
		return Unchanged
	}
	rec.server.Draining = true
	return Updated
}

// endFormer ends the former incarnation of a restarted server.
func (r *Registry) endFormer(s Server, now monotime.Instant) {
	former, ok := r.current[s.Name]
	if !ok {
		return
	}
	r.addTombstone(former, s.Revision, now)
	r.replaced = append(r.replaced, former)
}

// Replaced returns the incarnations that ended by a restart of their server since the
// last call.
func (r *Registry) Replaced() []string {
	out := r.replaced
	r.replaced = nil
	return out
}

// Invalidate applies an unreadable entry. Its name is not used until a readable one
// follows; entries of other names are unaffected. It returns the id of the incarnation
// concerned.
func (r *Registry) Invalidate(m EntryRef, now monotime.Instant) (id string, change Change) {
	r.observe(m.Revision, now)
	id = r.current[m.Name]
	rec := r.live[id]
	if rec == nil || m.Revision <= rec.server.Revision {
		return id, Unchanged
	}
	rec.server.Invalid, rec.server.Revision = true, m.Revision
	r.updateDigest(rec)
	return id, Updated
}

// Replace applies a full list of the store, read at a revision: the readable entries and
// references to unreadable ones. It returns the ids of what changed, including those
// whose entries are missing.
func (r *Registry) Replace(list []Server, invalid []EntryRef, revision Revision, now monotime.Instant) (changed []string) {
	r.observeList(revision, now)
	present := make(map[Name]bool, len(list))
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
