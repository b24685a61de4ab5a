package servers

import (
	"slices"
	"strings"
	"time"

	"basilrudder/internal/monotime"
)

const (
	// RemovalGrace is how long an entry that is missing after a store outage still
	// counts. Live servers write theirs again within 2 s; a much shorter grace would drop
	// them. It is below 2 s because a server that did leave must get no request later
	// than 2 s after its removal was acknowledged.
	RemovalGrace = 1700 * time.Millisecond
	// tombstoneTTL is how long a tombstone is kept. With a shorter time a late update of
	// a peer would restore it.
	tombstoneTTL = 5 * time.Minute
)

// tombstone marks an incarnation that is gone.
type tombstone struct {
	name     Name
	revision Revision
	at       monotime.Instant
	// draining is whether it was draining, which a reappearing entry can't undo.
	draining bool
}

// expiringTombstone is a tombstone as of its creation.
type expiringTombstone struct {
	id string
	at monotime.Instant
}

// Remove applies the removal of the entry under a name at a revision. It returns the id
// of the incarnation concerned.
//
// During a store outage the entries of live servers may expire. If they were dropped at
// once, a whole service could vanish for two seconds after each outage. So a removal
// received shortly after one counts only if the entry does not reappear; that of a
// draining server counts at once.
func (r *Registry) Remove(name Name, revision Revision, now monotime.Instant) (id string, change Change) {
	r.observe(revision, now)
	r.dropCopies(name)
	id = r.current[name]
	rec := r.live[id]
	if rec == nil || revision < rec.server.Revision {
		return id, Unchanged
	}
	if r.unstableUntil != 0 && now < r.unstableUntil && !rec.server.Draining {
		if rec.graceEndsAt != 0 {
			return id, Unchanged
		}
		rec.graceEndsAt = r.unstableUntil
		r.inGrace[id] = struct{}{}
		rec.server.Revision = revision
		return id, InGrace
	}
	r.addTombstone(id, revision, now)
	return id, Removed
}

// MarkGone applies a peer's report that an incarnation is gone for good. One that left in
// an earlier era is gone even if the store's copy still has it.
func (r *Registry) MarkGone(id string, revision Revision, now monotime.Instant) Change {
	r.observe(revision, now)
	rec := r.live[id]
	if rec != nil && revision < rec.server.Revision && !r.endedInEarlierEra(rec, revision) {
		return Unchanged
	}
	if stone, ok := r.gone[id]; ok {
		r.extendTombstone(id, stone, revision)
		return Unchanged
	}
	r.addTombstone(id, revision, now)
	if rec == nil {
		return Unchanged
	}
	return Removed
}

func (r *Registry) addTombstone(id string, revision Revision, now monotime.Instant) {
	name, _, _ := strings.Cut(id, bornSeparator)
	stone := tombstone{name: Name(name), revision: revision, at: now}
	if rec := r.live[id]; rec != nil {
		stone.name, stone.draining = rec.server.Name, rec.server.Draining
		r.dropFromDigest(rec)
		r.versions.add(&rec.server, -1)
		if r.endedInEarlierEra(rec, revision) {
			r.copiedEntries[id] = rec.server
		}
	}
	if r.current[stone.name] == id {
		delete(r.current, stone.name)
	}
	delete(r.live, id)
	delete(r.inGrace, id)
	delete(r.limited, id)
	delete(r.brittle, id)
	r.removeTombstone(id)
	r.gone[id] = stone
	r.tombstoneCount[stone.name]++
	r.expiring = append(r.expiring, expiringTombstone{id: id, at: now})
}

// removeTombstone removes the tombstone of an incarnation, if there is one.
func (r *Registry) removeTombstone(id string) {
	stone, ok := r.gone[id]
	if !ok {
		return
	}
	delete(r.gone, id)
	r.tombstoneCount[stone.name]--
	if r.tombstoneCount[stone.name] == 0 {
		delete(r.tombstoneCount, stone.name)
	}
}

// StoreRecovered starts the grace period: the store answers again after an outage.
func (r *Registry) StoreRecovered(now monotime.Instant) {
	r.unstableUntil = now.Add(RemovalGrace)
}

// Expire drops servers whose entries did not reappear in the grace period, restores
// entries that outlasted copyLife, drops old tombstones, and returns the ids of what
// changed. Its work depends on what expires, not on the number of servers.
func (r *Registry) Expire(now monotime.Instant) (changed []string) {
	changed = r.restoreCopies(now)
	changed = append(changed, r.endGrace(now)...)
	r.expireTombstones(now)
	return changed
}

// endGrace ends the servers whose grace period is over and returns their ids, sorted.
func (r *Registry) endGrace(now monotime.Instant) (ended []string) {
	for id := range r.inGrace {
		if now >= r.live[id].graceEndsAt {
			ended = append(ended, id)
		}
	}
	slices.Sort(ended)
	for _, id := range ended {
		r.addTombstone(id, r.live[id].server.Revision, now)
	}
	return ended
}

// expireTombstones drops tombstones older than tombstoneTTL, and the births of names
// that have neither a tombstone nor a live incarnation left.
func (r *Registry) expireTombstones(now monotime.Instant) {
	for len(r.expiring) > 0 && now.Sub(r.expiring[0].at) > tombstoneTTL {
		oldest := r.expiring[0]
		r.expiring = r.expiring[1:]
		stone, ok := r.gone[oldest.id]
		if !ok || stone.at != oldest.at {
			continue
		}
		r.removeTombstone(oldest.id)
		if r.current[stone.name] == "" && r.tombstoneCount[stone.name] == 0 {
			delete(r.newestBorn, stone.name)
		}
	}
}
