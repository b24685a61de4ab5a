package servers

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Evacuation says whether operators want a data centre's servers to get nothing.
type Evacuation struct {
	// DataCentre whose servers are meant.
	DataCentre string
	// Active evacuations hold; others were taken back.
	Active bool
	// Revision of the store at which this was so.
	Revision int64
}

// Evacuate takes what the store says of an evacuation, read directly or told by a
// peer. It reports whether the data centre's servers are used differently by it.
//
// News of it come over several ways and in any order. The store's revision decides,
// so that late news of an evacuation that was taken back do not bring it into force
// again, and neither does an old answer of the store end one that is newer.
func (r *Registry) Evacuate(e Evacuation) bool {
	known := r.evacuations[e.DataCentre]
	if e.DataCentre == "" || e.Revision <= known.Revision {
		return false
	}
	r.evacuations[e.DataCentre] = e
	return e.Active != known.Active
}

// ReplaceEvacuations takes all evacuations in force as the store listed them at a
// revision. It returns what changed, with those that are no longer listed.
func (r *Registry) ReplaceEvacuations(list []Evacuation, revision int64) (changed []Evacuation) {
	listed := make(map[string]bool, len(list))
	for _, e := range list {
		listed[e.DataCentre] = true
		if r.Evacuate(e) {
			changed = append(changed, e)
		}
	}
	for _, known := range r.Evacuations() {
		if !known.Active || listed[known.DataCentre] {
			continue
		}
		over := Evacuation{DataCentre: known.DataCentre, Revision: revision}
		if r.Evacuate(over) {
			changed = append(changed, over)
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
