package servers

import (
	"maps"
	"slices"
	"time"

	"basilrudder/internal/monotime"
)

// EraGrace is how long after the first observation of a new era evacuation states that
// contradict earlier ones are deferred, and a report of the store that nothing changed is
// ignored. Operators repeat within about two seconds what the copy lacks; a shorter grace
// would apply the copy's outdated states. A change must be in force within five seconds,
// which a much longer grace would exceed.
const EraGrace = 2 * time.Second

// copyLife is how long after the first observation of a new era an entry may be in the
// store only because its copy has it. The entry of a server that is gone expires after
// three heartbeats; with a shorter time it would count as that of a live server.
const copyLife = 5 * time.Second

// MaxEraStep bounds how far the era may rise at once. It normally rises by one. Accepting
// a far too high era would make all later revisions count as old.
const MaxEraStep = 100

// Plausible reports whether a revision received from a peer can be one of the store's.
func (r *Registry) Plausible(revision Revision) bool {
	return revision >= 0 && (r.latest == 0 || revision.Era() <= r.latest.Era()+MaxEraStep)
}

// observe records a revision received from the store or a peer. In a new era missing
// entries may reappear, as after an outage.
func (r *Registry) observe(revision Revision, now monotime.Instant) {
	if r.latest != 0 && revision.Era() > r.latest.Era() {
		r.eraSince = now
		r.StoreRecovered(now)
		clear(r.copiedEntries)
	}
	r.latest = max(r.latest, revision)
}

// Latest returns the highest revision observed.
func (r *Registry) Latest() Revision { return r.latest }

// Listed returns the revision of the last full list of the store that was applied.
func (r *Registry) Listed() Revision { return r.listed }

// CountInGrace returns the number of servers whose entries are missing but may reappear.
func (r *Registry) CountInGrace() int {
	return len(r.inGrace)
}

// eraJustBegan reports whether the store began an era less than EraGrace ago, so that it
// may still lack writes that it had acknowledged before.
func (r *Registry) eraJustBegan(now monotime.Instant) bool {
	return r.eraSince != 0 && now < r.eraSince.Add(EraGrace)
}

// endsTombstone reports whether an entry restores an incarnation that is marked as gone.
//
// Within an era any later entry does, since the earlier one had expired. In a later era
// the entry may come from the copy although its server left after the copy was made.
// Requests would then reach a server that is gone, or another one at its address. So such
// an entry is kept aside: a live server writes it again or outlasts copyLife, and that of
// a gone server expires.
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

// restoreCopies applies the entries kept aside that have outlasted copyLife. It returns
// the ids of the incarnations restored.
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

// extendTombstone records a later removal of an incarnation that is gone: its entry in
// the copy has expired too.
func (r *Registry) extendTombstone(id string, stone tombstone, revision Revision) {
	if r.copiedEntries[id].Revision <= revision {
		delete(r.copiedEntries, id)
	}
	stone.revision = max(stone.revision, revision)
	r.gone[id] = stone
}

// dropCopies drops the entries kept aside under a name.
func (r *Registry) dropCopies(name Name) {
	maps.DeleteFunc(r.copiedEntries, func(_ string, s Server) bool { return s.Name == name })
}

// mayBeCopied reports whether an entry at a revision may stem from the copy with which
// its era began. That holds for revisions up to that of the first full list of the era,
// and for all as long as there is none.
func (r *Registry) mayBeCopied(revision Revision) bool {
	return r.firstListInEra.Era() != revision.Era() || revision <= r.firstListInEra
}

// endedInEarlierEra reports whether a server ended at a revision of an era before that of
// its entry, and the entry may stem from the copy.
func (r *Registry) endedInEarlierEra(rec *record, ended Revision) bool {
	entry := rec.server.Revision
	return ended.Era() < entry.Era() && entry == rec.firstInEra && r.mayBeCopied(entry)
}

// observeList records that a full list of the store at a revision was received.
func (r *Registry) observeList(revision Revision, now monotime.Instant) {
	r.observe(revision, now)
	if r.firstListInEra.Era() < revision.Era() || r.firstListInEra == 0 {
		r.firstListInEra = revision
	}
	r.listed = max(r.listed, revision)
}

// ApplyPeerList applies a full list of the store that a peer received; present reports
// whether the list has a server. Entries of earlier eras that it does not have are missing
// in the store. It returns the ids of what changed.
//
// An instance that does not read the store has no other way to find them: no peer can
// report the removal of an entry that no reader ever received.
func (r *Registry) ApplyPeerList(present func(id string) bool, revision Revision, now monotime.Instant) (changed []string) {
	r.observeList(revision, now)
	for _, id := range r.ids() {
		s := r.live[id].server
		if s.Revision.Era() >= revision.Era() || present(id) {
			continue
		}
		if _, change := r.Remove(s.Name, revision, now); change != Unchanged {
			changed = append(changed, id)
		}
	}
	return changed
}
