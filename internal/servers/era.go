package servers

import (
	"maps"
	"slices"
	"time"

	"basilrudder/internal/monotime"
)

// EraGrace is how long after a new era is first heard of what it says of evacuations waits
// where it contradicts what was known, and its word that nothing changed counts for nothing: operators write again within about two seconds what
// the copy lacks. It is short against the five seconds in which a change must be in force.
const EraGrace = 2 * time.Second

// copyLife is how long after a new era is first heard of an entry may stand in the store
// only because it is in the copy: that of a server that is gone runs out after three
// heartbeats.
const copyLife = 5 * time.Second

// MaxEraStep is how much the era may rise at once. It rises by one at a time; one that is
// far too high would have all that is said later count as old.
const MaxEraStep = 100

// Plausible reports whether a revision that a peer tells may be one of the store's.
func (r *Registry) Plausible(revision Revision) bool {
	return revision >= 0 && (r.latest == 0 || revision.Era() <= r.latest.Era()+MaxEraStep)
}

// observe notes a revision that the store or a peer told of. In a new era entries that are
// missing may come back, as after an outage.
func (r *Registry) observe(revision Revision, now monotime.Instant) {
	if r.latest != 0 && revision.Era() > r.latest.Era() {
		r.eraSince = now
		r.StoreRecovered(now)
		clear(r.copiedEntries)
	}
	r.latest = max(r.latest, revision)
}

// Latest returns the highest revision heard of.
func (r *Registry) Latest() Revision { return r.latest }

// Listed returns the revision of the last full list of the store that is known here.
func (r *Registry) Listed() Revision { return r.listed }

// CountInGrace returns the number of servers whose entries are missing and may come back.
func (r *Registry) CountInGrace() int {
	n := 0
	for _, rec := range r.live {
		if rec.graceEndsAt != 0 {
			n++
		}
	}
	return n
}

// eraJustBegan reports whether the store has just begun an era, so that it may still lack what
// it had acknowledged before.
func (r *Registry) eraJustBegan(now monotime.Instant) bool {
	return r.eraSince != 0 && now < r.eraSince.Add(EraGrace)
}

// endsTombstone reports whether an entry brings an incarnation back that ended.
//
// Within an era any later entry does: it had run out. In a later one the entry may be the
// copy's, of a server that left after the copy was made; requests would reach a server
// that is gone, or one that was given its address. A server that lives writes its entry
// again, and that of one that does not runs out.
func (r *Registry) endsTombstone(stone tombstone, s *Server, now monotime.Instant) bool {
	switch {
	case s.Revision <= stone.revision:
		return false
	case s.Revision.Era() == stone.revision.Era(), !r.mayBeCopied(s.Revision):
		return true
	}
	first, seen := r.copiedEntries[s.ID]
	if seen && s.Revision > first.Revision || r.eraSince == 0 || now >= r.eraSince.Add(copyLife) {
		return true
	}
	r.copiedEntries[s.ID] = *s
	return false
}

// restoreCopies takes the entries that may have been the copy's and have outlived it. It
// returns the ids of those that this brings back.
func (r *Registry) restoreCopies(now monotime.Instant) (restored []string) {
	if len(r.copiedEntries) == 0 || now < r.eraSince.Add(copyLife) {
		return nil
	}
	for id, s := range r.copiedEntries {
		if r.Put(s, now) != Unchanged {
			restored = append(restored, id)
		}
	}
	clear(r.copiedEntries)
	slices.Sort(restored)
	return restored
}

// extendTombstone takes a later end of an incarnation that is gone: its entry in the copy has run
// out too.
func (r *Registry) extendTombstone(id string, stone tombstone, revision Revision) {
	if r.copiedEntries[id].Revision <= revision {
		delete(r.copiedEntries, id)
	}
	stone.revision = max(stone.revision, revision)
	r.gone[id] = stone
}

// dropCopies forgets the entries under a name that may have been the copy's.
func (r *Registry) dropCopies(name string) {
	maps.DeleteFunc(r.copiedEntries, func(_ string, s Server) bool { return s.Name == name })
}

// mayBeCopied reports whether an entry at a revision may be the copy's with which its era
// began: all that the first list of the era held may be.
func (r *Registry) mayBeCopied(revision Revision) bool {
	return r.firstListInEra.Era() != revision.Era() || revision <= r.firstListInEra
}

// endedInEarlierEra reports whether a server ended at a revision of an era before that of its
// entry, which may be the copy's.
func (r *Registry) endedInEarlierEra(rec *record, ended Revision) bool {
	entry := rec.server.Revision
	return ended.Era() < entry.Era() && entry == rec.firstInEra && r.mayBeCopied(entry)
}

// observeList notes that a full observeList of the store at a revision is known here.
func (r *Registry) observeList(revision Revision, now monotime.Instant) {
	r.observe(revision, now)
	if r.firstListInEra.Era() < revision.Era() || r.firstListInEra == 0 {
		r.firstListInEra = revision
	}
	r.listed = max(r.listed, revision)
}

// ApplyPeerList takes a peer's word of a full list of the store: the servers that it holds are
// those of the same message. Entries of earlier eras that are not among them are missing in
// the store. It returns the ids of what changed.
//
// An instance that does not read the store has no other way to learn of them: nobody can
// tell it of the removal of an entry that no reader ever knew.
func (r *Registry) ApplyPeerList(present map[string]bool, revision Revision, now monotime.Instant) (changed []string) {
	r.observeList(revision, now)
	for _, id := range r.ids() {
		s := r.live[id].server
		if present[id] || s.Revision.Era() >= revision.Era() {
			continue
		}
		if _, change := r.Remove(s.Name, revision, now); change != Unchanged {
			changed = append(changed, id)
		}
	}
	return changed
}
