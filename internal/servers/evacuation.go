package servers

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"basilrudder/internal/monotime"
)

// Evacuation says whether operators want a data centre's servers to get nothing.
type Evacuation struct {
	// DataCentre whose servers are meant.
	DataCentre string
	// Active evacuations hold; others were taken back.
	Active bool
	// Revision of the store at which this was so.
	Revision Revision
}

// ApplyEvacuation takes what the store says of an evacuation, read directly or told by a
// peer. It reports whether the data centre's servers are used differently by it.
//
// News of it come over several ways and in any order. The store's revision decides,
// so that late news of an evacuation that was taken back do not bring it into force
// again, and neither does an old answer of the store end one that is newer. Where the store
// has just come back from a copy, what it says against what was known waits a little: the
// operator may not have written yet what the copy lacks.
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

// ApplyDeferredEvacuations returns what a new era of the store changed, once there was time to
// write again what it lacked.
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

// ReplaceEvacuations takes all evacuations in force as the store listed them at a
// revision. It returns what changed, with those that are no longer listed.
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

// Evacuations returns what is known of each data centre of which the store has ever
// said anything, by name.
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

// evacuationDigest is the part of Digest that tells of evacuations in force.
func (r *Registry) evacuationDigest() uint64 {
	var digest uint64
	for _, e := range r.evacuations {
		if e.Active {
			digest ^= xxhash.Sum64String(evacuationPrefix + e.DataCentre)
		}
	}
	return digest
}

// evacuationPrefix keeps the name of a data centre from counting like a server's.
const evacuationPrefix = "evacuated\x00"
