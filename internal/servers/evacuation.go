package servers

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"basilrudder/internal/monotime"
)

// Evacuation is the state of a data centre's evacuation: whether operators have withdrawn
// its servers from use.
type Evacuation struct {
	// DataCentre is the name of the data centre.
	DataCentre string
	// Active is true while the evacuation is in force and false once it has ended.
	Active bool
	// Revision of the store at which this state was read.
	Revision Revision
}

// ApplyEvacuation applies the state of an evacuation, read from the store or received
// from a peer. It reports whether this changes the use of the data centre's servers.
//
// Updates arrive over several paths and in any order. The store's revision decides: a
// late update can't reactivate an evacuation that has ended, nor can an old answer of the
// store end a newer one. Shortly after the store was restored from a copy, a state that
// contradicts the current one is deferred, because the operator may not have repeated yet
// what the copy lacks.
func (r *Registry) ApplyEvacuation(e Evacuation, now monotime.Instant) bool {
	r.observe(e.Revision, now)
	current := r.evacuations[e.DataCentre]
	if e.DataCentre == "" || e.Revision <= current.Revision {
		return false
	}
	if e.Revision < r.deferred[e.DataCentre].Revision {
		return false
	}
	delete(r.deferred, e.DataCentre)
	if e.Active == current.Active {
		r.evacuations[e.DataCentre] = e
		return false
	}
	if current.Revision != 0 && r.eraJustBegan(now) {
		r.deferred[e.DataCentre] = e
		return false
	}
	r.evacuations[e.DataCentre] = e
	return true
}

// ApplyDeferredEvacuations applies the deferred states once EraGrace has passed. It
// returns the changes.
func (r *Registry) ApplyDeferredEvacuations(now monotime.Instant) (changed []Evacuation) {
	if len(r.deferred) == 0 || r.eraJustBegan(now) {
		return nil
	}
	for _, e := range r.deferred {
		if r.ApplyEvacuation(e, now) {
			changed = append(changed, e)
		}
	}
	return changed
}

// ReplaceEvacuations applies the store's full list of active evacuations at a revision
// and ends those that are no longer listed. It returns the changes.
func (r *Registry) ReplaceEvacuations(list []Evacuation, revision Revision, now monotime.Instant) (changed []Evacuation) {
	listed := make(map[string]bool, len(list))
	for _, e := range list {
		listed[e.DataCentre] = true
		if r.ApplyEvacuation(e, now) {
			changed = append(changed, e)
		}
	}
	for _, current := range r.Evacuations() {
		if !current.Active || listed[current.DataCentre] {
			continue
		}
		ended := Evacuation{DataCentre: current.DataCentre, Revision: revision}
		if r.ApplyEvacuation(ended, now) {
			changed = append(changed, ended)
		}
	}
	return changed
}

// Evacuations returns the last state of each data centre for which one was received, by
// name.
func (r *Registry) Evacuations() []Evacuation {
	out := make([]Evacuation, 0, len(r.evacuations))
	for _, e := range r.evacuations {
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b Evacuation) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
	return out
}

// Evacuated reports whether the servers of a data centre get no requests.
func (r *Registry) Evacuated(dataCentre string) bool {
	return r.evacuations[dataCentre].Active
}

// anyEvacuated reports whether an evacuation is active.
func (r *Registry) anyEvacuated() bool {
	for _, e := range r.evacuations {
		if e.Active {
			return true
		}
	}
	return false
}

// evacuationDigest is the part of Digest that covers active evacuations.
func (r *Registry) evacuationDigest() uint64 {
	var digest uint64
	for _, e := range r.evacuations {
		if e.Active {
			digest ^= xxhash.Sum64String(evacuationPrefix + e.DataCentre)
		}
	}
	return digest
}

// evacuationPrefix distinguishes the name of a data centre from the id of a server in
// Digest. Instances compare digests, so those with another prefix would differ.
const evacuationPrefix = "evacuated\x00"
